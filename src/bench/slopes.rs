//! Slopes.
use crate::error::Result;
/// Slopes.
pub struct Slopes;
impl Slopes {
    /// Y.
    pub fn to_yaml(&self) -> Result<String> {
        Ok(String::new())
    }
    /// Y.
    pub fn from_yaml(_: &str) -> Result<Slopes> {
        Ok(Slopes)
    }
}
/// M.
pub fn measure() -> Result<Slopes> {
    Ok(Slopes)
}
