//! Encodes link messages on a stream.
//!
//! A greeting is a length (`u32`, little-endian) and a payload; a frame also ends with an
//! authentication tag.

use std::io;

use guavacart_wire::{LinkSeal, MAX_FRAME_BYTES, TAG_BYTES, WireError};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Longest greeting, in bytes.
const MAX_GREETING_BYTES: usize = 1_024;

/// Why a link ended.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    /// The stream failed or ended.
    #[error("the stream ended: {0}")]
    Io(#[from] io::Error),
    /// A message is invalid or fails authentication.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The handshake or a write timed out, or the peer's address is not known.
    #[error("the peer cannot be reached or did not answer in time")]
    Timeout,
}

impl From<tokio::time::error::Elapsed> for LinkError {
    fn from(_: tokio::time::error::Elapsed) -> Self {
        Self::Timeout
    }
}

/// Writes a greeting of the handshake; greetings are not sealed.
pub(super) async fn write_greeting<W, T>(stream: &mut W, greeting: &T) -> Result<(), LinkError>
where
    W: AsyncWrite + Unpin,
    T: Serialize,
{
    let payload = postcard::to_stdvec(greeting).map_err(WireError::from)?;
    write_with_length(stream, &payload).await?;
    stream.flush().await?;
    Ok(())
}

/// Reads the other side's greeting of the handshake.
pub(super) async fn read_greeting<R, T>(stream: &mut R) -> Result<T, LinkError>
where
    R: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let payload = read_with_length(stream, MAX_GREETING_BYTES).await?;
    Ok(postcard::from_bytes(&payload).map_err(WireError::from)?)
}

/// Writes one sealed frame.
pub(super) async fn write_frame<W: AsyncWrite + Unpin>(
    stream: &mut W,
    seal: &mut LinkSeal,
    payload: &[u8],
) -> Result<(), LinkError> {
    let tag = seal.seal(payload);
    write_with_length(stream, payload).await?;
    stream.write_all(&tag).await?;
    Ok(())
}

/// Returns the size of a frame on the stream, in bytes.
pub(super) fn frame_size(payload: &[u8]) -> usize {
    size_of::<u32>() + payload.len() + TAG_BYTES
}

/// Reads one sealed frame, checks its tag and returns its payload.
pub(super) async fn read_frame<R: AsyncRead + Unpin>(
    stream: &mut R,
    seal: &mut LinkSeal,
) -> Result<Vec<u8>, LinkError> {
    let payload = read_with_length(stream, MAX_FRAME_BYTES).await?;
    let mut tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await?;
    seal.open(&payload, &tag)?;
    Ok(payload)
}

async fn write_with_length<W: AsyncWrite + Unpin>(
    stream: &mut W,
    payload: &[u8],
) -> io::Result<()> {
    let len = u32::try_from(payload.len()).map_err(io::Error::other)?;
    stream.write_all(&len.to_le_bytes()).await?;
    stream.write_all(payload).await
}

async fn read_with_length<R: AsyncRead + Unpin>(
    stream: &mut R,
    limit: usize,
) -> Result<Vec<u8>, LinkError> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await?;
    let len = u32::from_le_bytes(len) as usize;
    if len > limit {
        return Err(WireError::TooLong { len, limit }.into());
    }
    let mut payload = vec![0; len];
    stream.read_exact(&mut payload).await?;
    Ok(payload)
}
