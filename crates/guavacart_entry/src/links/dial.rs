//! The dialling side of a link: connects when a frame is queued and writes the queued frames.

use std::{sync::Arc, time::Duration};

use flume::Receiver;
use guavacart_platform::Traffic;
use guavacart_scheduler::{Event, request::RequestEvent};
use guavacart_types::{CallId, InstanceId, Outcome, Reason};
use guavacart_wire::{Frame, Hello, LinkSeal, Nonce, Welcome, WireError};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufWriter},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::timeout,
};
use tracing::debug;

use super::{
    LinkContext,
    channel::{LinkError, frame_size, read_greeting, write_frame, write_greeting},
};
use crate::reducer_thread::Input;

/// Longest time to connect and complete the handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time that a write may block because the peer does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the write buffer.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// An authenticated link, ready for frames.
struct Link {
    reader: OwnedReadHalf,
    writer: BufWriter<OwnedWriteHalf>,
    seal: LinkSeal,
    traffic: Traffic,
}

/// Writes the frames of `queue` to the peer until the queue's senders are dropped.
///
/// Dials again for the next frame after a link broke.
pub(super) async fn write_frames(cx: Arc<LinkContext>, to: InstanceId, queue: Receiver<Frame>) {
    while let Ok(first) = queue.recv_async().await {
        let link = match dial(&cx, &to).await {
            Ok(link) => link,
            Err(err) => {
                debug!(event = "link_undialled", to = %to, error = %err);
                cx.metrics.count("links.undialled");
                report_unsent(&cx, &to, [first].into_iter().chain(queue.drain())).await;
                continue;
            }
        };
        let Err(err) = write_until_broken(link, first, &queue).await else {
            return;
        };
        debug!(event = "link_broken", to = %to, error = %err);
        cx.metrics.count("links.broken");
        report_unsent(&cx, &to, queue.drain()).await;
        report_peer_lost(&cx, &to).await;
    }
}

/// Returns the event for the reducer that follows from a frame of which no byte was sent, if any.
pub(crate) fn event_for_unsent(to: &InstanceId, frame: &Frame) -> Option<RequestEvent> {
    let Frame::Forward(forward) = frame else {
        return None;
    };
    Some(RequestEvent::ForwardEnded {
        call: CallId(forward.call),
        from: to.clone(),
        outcome: Outcome::NotRun(Reason::PeerLost),
        load: Default::default(),
    })
}

/// Reports to the reducer the frames of which no byte was sent.
async fn report_unsent(cx: &LinkContext, to: &InstanceId, frames: impl Iterator<Item = Frame>) {
    for event in frames.filter_map(|frame| event_for_unsent(to, &frame)) {
        // A closed inbox means that the process is ending.
        let _ = cx
            .inbox
            .send_async(Input::Event(Event::Request(event)))
            .await;
    }
}

/// Reports to the reducer that a link broke, so that requests forwarded over the link may be lost.
pub(super) async fn report_peer_lost(cx: &LinkContext, peer: &InstanceId) {
    let peer = peer.clone();
    let lost = RequestEvent::PeerLost { peer };
    // A closed inbox means that the process is ending.
    let _ = cx
        .inbox
        .send_async(Input::Event(Event::Request(lost)))
        .await;
}

async fn dial(cx: &LinkContext, to: &InstanceId) -> Result<Link, LinkError> {
    timeout(DIAL_TIMEOUT, connect(cx, to)).await?
}

/// Connects to a peer and exchanges greetings.
async fn connect(cx: &LinkContext, to: &InstanceId) -> Result<Link, LinkError> {
    let address = cx.addresses.get(to).ok_or(LinkError::Timeout)?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let hello = Hello {
        from: cx.me.clone(),
        incarnation: cx.incarnation,
        to: to.clone(),
        nonce: rand::random::<Nonce>(),
    };
    write_greeting(&mut writer, &hello).await?;
    let welcome: Welcome = read_greeting(&mut reader).await?;
    if welcome.from != *to {
        return Err(WireError::WrongInstance.into());
    }
    let seal = LinkSeal::new(cx.key.as_bytes(), &hello, &welcome);
    let writer = BufWriter::with_capacity(WRITE_BUFFER_BYTES, writer);
    Ok(Link {
        reader,
        writer,
        seal,
        traffic: cx.traffic.clone(),
    })
}

/// Writes frames until the link breaks, which is an error, or the queue's senders are dropped.
async fn write_until_broken(
    mut link: Link,
    first: Frame,
    queue: &Receiver<Frame>,
) -> Result<(), LinkError> {
    send(&mut link, first, queue).await?;
    let mut byte = [0; 1];
    loop {
        tokio::select! {
            frame = queue.recv_async() => {
                let Ok(frame) = frame else {
                    return Ok(());
                };
                send(&mut link, frame, queue).await?;
            }
            // The peer never writes after the handshake, so the end of a read means that the link
            // broke.
            read = link.reader.read(&mut byte) => {
                read?;
                return Err(LinkError::Io(std::io::ErrorKind::ConnectionAborted.into()));
            }
        }
    }
}

/// Writes a frame and all frames queued after it, then flushes.
async fn send(link: &mut Link, first: Frame, queue: &Receiver<Frame>) -> Result<(), LinkError> {
    let Link { writer, seal, .. } = link;
    let mut next = Some(first);
    while let Some(frame) = next {
        let payload = frame.encode()?;
        timeout(WRITE_TIMEOUT, write_frame(writer, seal, &payload)).await??;
        link.traffic.sent(frame_size(&payload));
        next = queue.try_recv().ok();
    }
    timeout(WRITE_TIMEOUT, writer.flush()).await??;
    Ok(())
}
