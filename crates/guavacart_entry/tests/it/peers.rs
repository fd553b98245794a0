//! Tests of the peers' port: messages without a valid tag are refused, and the instance still
//! serves callers.

use std::{io::Write, net::UdpSocket};

use crate::instance::{connect, exchange, is_healthy, settings};
use guavacart_entry::Entry;
use guavacart_types::Incarnation;
use guavacart_wire::Hello;

/// Returns a greeting as sent on a link: length and payload.
fn greeting(to: &str) -> Vec<u8> {
    let hello = Hello {
        from: "e2".parse().unwrap(),
        incarnation: Incarnation(1),
        to: to.parse().unwrap(),
        nonce: [7; 16],
    };
    with_length(&postcard::to_stdvec(&hello).unwrap())
}

fn with_length(payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap();
    [&len.to_le_bytes(), payload].concat()
}

macro_rules! refused_link {
    ($($name:ident: $bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            let entry = Entry::spawn(settings()).unwrap();
            let bytes: Vec<u8> = $bytes;
            // The read ends once the link is closed.
            exchange(entry.peers(), &bytes);
            assert!(is_healthy(entry.callers()));
        }
    )*};
}

refused_link! {
    noise_in_place_of_a_greeting: vec![0xff; 64];
    a_greeting_for_another_instance: greeting("e9");
    a_frame_without_a_valid_tag: [greeting("e1"), with_length(b"payload"), vec![0; 16]].concat();
    a_frame_longer_than_any_may_be: [greeting("e1"), u32::MAX.to_le_bytes().to_vec()].concat();
    a_greeting_longer_than_any_may_be: with_length(&[0; 4_096]);
}

#[test]
fn datagrams_without_a_valid_tag_are_dropped() {
    let entry = Entry::spawn(settings()).unwrap();
    let socket = UdpSocket::bind(("127.0.0.1", 0)).unwrap();
    for len in [0, 1, 16, 17, 64, 1_400] {
        socket.send_to(&vec![1; len], entry.peers()).unwrap();
    }
    assert!(is_healthy(entry.callers()));
}

#[test]
fn silent_links_do_not_keep_others_out() {
    let entry = Entry::spawn(settings()).unwrap();
    let silent: Vec<_> = (0..40).map(|_| connect(entry.peers())).collect();
    let mut stream = connect(entry.peers());
    stream.write_all(&greeting("e1")).unwrap();
    let mut welcome = [0; 4];
    std::io::Read::read_exact(&mut stream, &mut welcome).unwrap();
    drop(silent);
}
