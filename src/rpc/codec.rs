//! tonic codec for MessagePack.

use std::marker::PhantomData;

use bytes::{Buf, BufMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::Status;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Codec that encodes messages `T` and decodes messages `U`.
#[derive(Debug)]
pub struct MsgPackCodec<T, U>(PhantomData<(T, U)>);

impl<T, U> Default for MsgPackCodec<T, U> {
    fn default() -> Self {
        MsgPackCodec(PhantomData)
    }
}

impl<T, U> Codec for MsgPackCodec<T, U>
where
    T: Serialize + Send + 'static,
    U: DeserializeOwned + Send + 'static,
{
    type Encode = T;
    type Decode = U;
    type Encoder = MsgPackEncoder<T>;
    type Decoder = MsgPackDecoder<U>;

    fn encoder(&mut self) -> Self::Encoder {
        MsgPackEncoder(PhantomData)
    }

    fn decoder(&mut self) -> Self::Decoder {
        MsgPackDecoder(PhantomData)
    }
}

/// Encoder of messages.
#[derive(Debug)]
pub struct MsgPackEncoder<T>(PhantomData<T>);

impl<T: Serialize> Encoder for MsgPackEncoder<T> {
    type Item = T;
    type Error = Status;

    fn encode(&mut self, item: T, buf: &mut EncodeBuf<'_>) -> Result<(), Status> {
        let mut writer = buf.writer();
        rmp_serde::encode::write_named(&mut writer, &item)
            .map_err(|err| Status::internal(err.to_string()))
    }
}

/// Decoder of messages.
#[derive(Debug)]
pub struct MsgPackDecoder<U>(PhantomData<U>);

impl<U: DeserializeOwned> Decoder for MsgPackDecoder<U> {
    type Item = U;
    type Error = Status;

    fn decode(&mut self, buf: &mut DecodeBuf<'_>) -> Result<Option<U>, Status> {
        if !buf.has_remaining() {
            return Ok(None);
        }
        let bytes = buf.copy_to_bytes(buf.remaining());
        rmp_serde::from_slice(&bytes)
            .map(Some)
            .map_err(|err| Status::invalid_argument(err.to_string()))
    }
}
