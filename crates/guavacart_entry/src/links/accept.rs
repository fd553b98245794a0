//! The incoming half of a link: reads a peer's frames.

use std::{sync::Arc, time::Duration};

use guavacart_scheduler::{
    Event,
    batch::BatchEvent,
    request::{PeerRequest, RequestEvent},
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
    channel::{LinkError, frame_bytes, greet, greeted, read_frame},
    dial::lost,
};
use crate::core::Input;

/// Longest time for a dialler to greet.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// Rest after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most links and greetings at once.
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
                warn!(event = "link_unaccepted", error = %err, "a peer's connection was not accepted");
                sleep(ACCEPT_PAUSE).await;
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
    let (reader, seal, peer) = match timeout(GREETING_TIMEOUT, welcome(stream, cx)).await {
        Ok(Ok(link)) => link,
        Ok(Err(err)) => return refused(cx, &err),
        Err(elapsed) => return refused(cx, &elapsed.into()),
    };
    let err = read_all(reader, seal, &peer, links).await;
    debug!(event = "link_ended", from = %peer, error = %err);
    if matches!(err, LinkError::Wire(_)) {
        cx.metrics.count("links.refused");
    }
    lost(cx, &peer).await;
}

fn refused(cx: &LinkContext, err: &LinkError) {
    cx.metrics.count("links.refused");
    debug!(event = "link_refused", error = %err);
}

async fn welcome(
    stream: TcpStream,
    cx: &LinkContext,
) -> Result<(OwnedReadHalf, LinkSeal, InstanceId), LinkError> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let hello: Hello = greeted(&mut reader).await?;
    if hello.to != cx.me {
        return Err(WireError::Stranger.into());
    }
    let welcome = Welcome {
        from: cx.me.clone(),
        nonce: rand::random::<Nonce>(),
    };
    greet(&mut writer, &welcome).await?;
    // The dialler takes the end of this half as the link's end, so it stays open with the reader.
    writer.forget();
    let seal = LinkSeal::new(cx.key.as_bytes(), &hello, &welcome);
    Ok((reader, seal, hello.from))
}

/// Reads frames until the link ends; tells why it did.
async fn read_all(
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
        links.cx.traffic.received(frame_bytes(&payload));
        match Frame::decode(&payload) {
            Ok(frame) => take(frame, peer, links).await,
            Err(err) => {
                links.cx.metrics.count("links.frames_refused");
                debug!(event = "frame_refused", from = %peer, error = %err);
            }
        }
    }
}

async fn take(frame: Frame, peer: &InstanceId, links: &Links) {
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
            let message = PeerRequest::from(wire);
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
        Frame::Ask { id, question } => {
            let (reply, rx) = oneshot::channel();
            let links = links.clone();
            tokio::spawn(async move {
                if let Ok(body) = rx.await {
                    // An unsent reply leaves the asker to its time limit.
                    let _ = links.send(&from, Frame::Reply { id, body });
                }
            });
            Input::Ask { question, reply }
        }
        Frame::Reply { id, body } => return cx.replied(id, body),
    };
    // A closed inbox means that the process is ending.
    let _ = cx.inbox.send_async(input).await;
}
