//! The accepting side of a link: performs the handshake and reads the peer's frames.

use std::{sync::Arc, time::Duration};

use guavacart_scheduler::{
    Event,
    batch::BatchEvent,
    request::{RequestEvent, RequestMessage},
};
use guavacart_types::InstanceId;
use guavacart_wire::{Frame, Hello, LinkSeal, Nonce, Welcome, WireError, decode_peer_batch};
use tokio::{
    io::BufReader,
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
    sync::{Semaphore, oneshot},
    time::{sleep, timeout},
};
use tracing::{debug, warn};

use super::{
    LinkContext, Links,
    channel::{LinkError, frame_size, read_frame, read_greeting, write_greeting},
    dial::report_peer_lost,
};
use crate::reducer_thread::Input;

/// Longest time for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Most accepted links at once, including those in the handshake.
const MAX_LINKS: usize = 256;

/// Accepts links for as long as the process runs.
pub(crate) async fn accept(listener: TcpListener, links: Links) {
    let permits = Arc::new(Semaphore::new(MAX_LINKS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(event = "link_unaccepted", error = %err, "could not accept a peer's connection; retrying; check the process's limit of open files");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let links = links.clone();
        tokio::spawn(async move {
            serve(stream, &links).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, links: &Links) {
    let cx = &links.cx;
    let (reader, seal, peer) = match timeout(HANDSHAKE_TIMEOUT, accept_handshake(stream, cx)).await
    {
        Ok(Ok(link)) => link,
        Ok(Err(err)) => return count_refused(cx, &err),
        Err(elapsed) => return count_refused(cx, &elapsed.into()),
    };
    let err = read_frames(reader, seal, &peer, links).await;
    debug!(event = "link_ended", from = %peer, error = %err);
    if matches!(err, LinkError::Wire(_)) {
        cx.metrics.count("links.refused");
    }
    report_peer_lost(cx, &peer).await;
}

fn count_refused(cx: &LinkContext, err: &LinkError) {
    cx.metrics.count("links.refused");
    debug!(event = "link_refused", error = %err);
}

/// Reads the dialler's greeting and answers it.
///
/// The dialler is not authenticated before its first sealed frame.
async fn accept_handshake(
    stream: TcpStream,
    cx: &LinkContext,
) -> Result<(OwnedReadHalf, LinkSeal, InstanceId), LinkError> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let hello: Hello = read_greeting(&mut reader).await?;
    if hello.to != cx.me {
        return Err(WireError::WrongInstance.into());
    }
    let welcome = Welcome {
        from: cx.me.clone(),
        nonce: rand::random::<Nonce>(),
    };
    write_greeting(&mut writer, &welcome).await?;
    // Keeps the write half open without using it: the dialler treats its end as the end of the
    // link.
    writer.forget();
    let seal = LinkSeal::new(cx.key.as_bytes(), &hello, &welcome);
    Ok((reader, seal, hello.from))
}

/// Reads frames until the link ends and returns the reason.
async fn read_frames(
    reader: OwnedReadHalf,
    mut seal: LinkSeal,
    peer: &InstanceId,
    links: &Links,
) -> LinkError {
    let mut reader = BufReader::new(reader);
    loop {
        let payload = match read_frame(&mut reader, &mut seal).await {
            Ok(payload) => payload,
            Err(err) => return err,
        };
        links.cx.traffic.received(frame_size(&payload));
        match Frame::decode(&payload) {
            Ok(frame) => handle_frame(frame, peer, links).await,
            Err(err) => {
                links.cx.metrics.count("links.frames_refused");
                debug!(event = "frame_refused", from = %peer, error = %err);
            }
        }
    }
}

/// Passes a frame to the reducer, or to the task whose question it answers.
async fn handle_frame(frame: Frame, peer: &InstanceId, links: &Links) {
    let cx = &links.cx;
    let from = peer.clone();
    let input = match frame {
        Frame::Forward(wire) => Input::Forward {
            call: cx.call_ids.next(),
            from,
            wire,
        },
        Frame::Outcome(wire) => Input::Outcome { from, wire },
        Frame::Request(wire) => {
            let message = RequestMessage::from(wire);
            Input::Event(Event::Request(RequestEvent::Peer { from, message }))
        }
        Frame::Batch(message) => match decode_peer_batch(&message) {
            Ok(message) => Input::Event(Event::Batch(BatchEvent::Peer { from, message })),
            Err(err) => {
                cx.metrics.count("links.frames_refused");
                debug!(event = "frame_refused", from = %peer, error = %err);
                return;
            }
        },
        Frame::Question { id, question } => {
            let (reply, rx) = oneshot::channel();
            let links = links.clone();
            tokio::spawn(async move {
                if let Ok(body) = rx.await {
                    // If the reply cannot be queued, the requester times out.
                    let _ = links.send(&from, Frame::Reply { id, body });
                }
            });
            Input::Question { question, reply }
        }
        Frame::Reply { id, body } => return cx.deliver_reply(id, body),
    };
    // A closed inbox means that the process is ending.
    let _ = cx.inbox.send_async(input).await;
}
