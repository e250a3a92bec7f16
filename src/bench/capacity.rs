//! Capacity.
/// Page.
pub fn page(_measured: &crate::bench::slopes::Slopes) -> String {
    String::new()
}
