//! Generates the gRPC stubs in `src/rpc/`.
//!
//! Run from the root of the repository with
//! `cargo run --manifest-path tools/codegen/Cargo.toml`. The generated code is committed, so
//! that a build of winghold does not need the generator.

use tonic_build::manual::{Builder, Method, Service};

const CODEC: &str = "crate::rpc::codec::MsgPackCodec";
const OUT_DIR: &str = "src/rpc";

fn main() {
    let builder = Builder::new().out_dir(OUT_DIR);
    builder.compile(&[peer_service(), store_service()]);
}

/// Bidirectional stream between two processes.
fn peer_service() -> Service {
    let exchange = Method::builder()
        .name("exchange")
        .route_name("Exchange")
        .input_type("crate::message::Frame")
        .output_type("crate::message::Frame")
        .codec_path(CODEC)
        .client_streaming()
        .server_streaming()
        .build();
    Service::builder()
        .name("Peer")
        .package("winghold.v1")
        .method(exchange)
        .build()
}

/// Calls to the platform's key-value store.
fn store_service() -> Service {
    let call = Method::builder()
        .name("call")
        .route_name("Call")
        .input_type("crate::store::StoreRequest")
        .output_type("crate::store::StoreReply")
        .codec_path(CODEC)
        .build();
    Service::builder()
        .name("KeyValue")
        .package("winghold.platform.v1")
        .method(call)
        .build()
}
