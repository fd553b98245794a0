//! The outgoing half of a link: dials when there is something to send.

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
    channel::{LinkError, frame_bytes, greet, greeted, write_frame},
};
use crate::core::Input;

/// Longest time to connect and to greet.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time that a peer may leave its side of a link unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes gathered before a write.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// An authenticated link, ready for frames.
struct Link {
    reader: OwnedReadHalf,
    writer: BufWriter<OwnedWriteHalf>,
    seal: LinkSeal,
    traffic: Traffic,
}

/// Writes the frames of `queue` to the peer until the queue's senders are gone.
pub(super) async fn write_all(cx: Arc<LinkContext>, to: InstanceId, queue: Receiver<Frame>) {
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
        let Err(err) = serve(link, first, &queue).await else {
            return;
        };
        debug!(event = "link_broken", to = %to, error = %err);
        cx.metrics.count("links.broken");
        report_unsent(&cx, &to, queue.drain()).await;
        lost(&cx, &to).await;
    }
}

/// What follows from a frame of which no byte was sent.
pub(crate) fn unsent(to: &InstanceId, frame: &Frame) -> Option<RequestEvent> {
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

/// Reports frames of which no byte was sent.
async fn report_unsent(cx: &LinkContext, to: &InstanceId, frames: impl Iterator<Item = Frame>) {
    for event in frames.filter_map(|frame| unsent(to, &frame)) {
        // A closed inbox means that the process is ending.
        let _ = cx
            .inbox
            .send_async(Input::Event(Event::Request(event)))
            .await;
    }
}

/// Reports that a link broke and what was under way on it may be lost.
pub(super) async fn lost(cx: &LinkContext, peer: &InstanceId) {
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

async fn connect(cx: &LinkContext, to: &InstanceId) -> Result<Link, LinkError> {
    let address = cx.addresses.of(to).ok_or(LinkError::Timeout)?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let hello = Hello {
        from: cx.me.clone(),
        incarnation: cx.incarnation,
        to: to.clone(),
        nonce: rand::random::<Nonce>(),
    };
    greet(&mut writer, &hello).await?;
    let welcome: Welcome = greeted(&mut reader).await?;
    if welcome.from != *to {
        return Err(WireError::Stranger.into());
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

/// Writes frames until the link breaks (an error) or the queue's senders are gone.
async fn serve(mut link: Link, first: Frame, queue: &Receiver<Frame>) -> Result<(), LinkError> {
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
            // The peer never writes on this link; its end means that the link broke.
            read = link.reader.read(&mut byte) => {
                read?;
                return Err(LinkError::Io(std::io::ErrorKind::ConnectionAborted.into()));
            }
        }
    }
}

/// Writes a frame and all that gathered behind it, then flushes.
async fn send(link: &mut Link, first: Frame, queue: &Receiver<Frame>) -> Result<(), LinkError> {
    let Link { writer, seal, .. } = link;
    let mut next = Some(first);
    while let Some(frame) = next {
        let payload = frame.encode()?;
        timeout(WRITE_TIMEOUT, write_frame(writer, seal, &payload)).await??;
        link.traffic.sent(frame_bytes(&payload));
        next = queue.try_recv().ok();
    }
    timeout(WRITE_TIMEOUT, writer.flush()).await??;
    Ok(())
}
