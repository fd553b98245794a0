//! Tests of the callers' listener: malformed, oversized, unauthorized and slow requests are
//! refused, and the instance still serves others.

use std::{io::Write, net::TcpStream};

use crate::instance::{connect, exchange, is_healthy, settings, status};
use guavacart_entry::Entry;

fn request(headers: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "POST /v1/services/engine HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n{headers}Content-Length: {len}\r\n\r\n{body}"
    )
}

const TEAM_HEADERS: &str = "Guavacart-Team: north\r\nAuthorization: Bearer the team's token\r\n";
const ID: &str = "Guavacart-Request-Id: r1\r\n";

macro_rules! answered {
    ($($name:ident: $request:expr => $status:expr;)*) => {$(
        #[test]
        fn $name() {
            let entry = Entry::spawn(settings()).unwrap();
            let answer = exchange(entry.callers(), $request.as_bytes());
            assert_eq!(status(&answer), $status);
            assert!(is_healthy(entry.callers()));
        }
    )*};
}

answered! {
    an_unknown_service_is_not_found: request(&format!("{TEAM_HEADERS}{ID}"), "draft") => "404";
    a_missing_team_is_named: request(ID, "draft") => "400";
    a_missing_request_id_is_named: request(TEAM_HEADERS, "draft") => "400";
    a_wrong_request_id_is_named:
        request(&format!("{TEAM_HEADERS}Guavacart-Request-Id: a b\r\n"), "draft") => "400";
    a_wrong_class_is_named:
        request(&format!("{TEAM_HEADERS}{ID}Guavacart-Class: huge\r\n"), "draft") => "400";
    a_wrong_deadline_is_named:
        request(&format!("{TEAM_HEADERS}{ID}Guavacart-Deadline-Ms: soon\r\n"), "draft") => "400";
    a_wrong_token_is_refused:
        request(&format!("Guavacart-Team: north\r\nAuthorization: Bearer guess\r\n{ID}"), "draft")
            => "401";
    an_unknown_team_is_refused:
        request(&format!("Guavacart-Team: south\r\nAuthorization: Bearer the team's token\r\n{ID}"), "draft")
            => "401";
    a_body_over_the_limit_is_refused:
        request(&format!("{TEAM_HEADERS}{ID}"), &"x".repeat(5_000)) => "413";
    an_unknown_path_is_not_found:
        "GET /nothing HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n\r\n" => "404";
    a_wrong_method_is_named:
        "GET /v1/services/engine HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n\r\n" => "405";
    two_different_lengths_are_refused:
        format!("POST /v1/services/engine HTTP/1.1\r\nHost: e1\r\n{TEAM_HEADERS}{ID}Content-Length: 5\r\nContent-Length: 6\r\n\r\ndraft")
            => "400";
    a_head_over_the_limit_is_refused:
        request(&format!("{TEAM_HEADERS}{ID}X: {}\r\n", "x".repeat(16 << 10)), "draft") => "431";
    what_is_not_http_is_refused: "HELLO\r\n\r\n" => "400";
    a_body_that_never_arrives_times_out:
        format!("POST /v1/services/engine HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n{TEAM_HEADERS}{ID}Content-Length: 5\r\n\r\ndr")
            => "408";
    a_head_that_never_ends_times_out: "POST /v1/services/engine HTTP/1.1\r\nHost: e1\r\n"
            => "closed";
}

#[test]
fn half_open_connections_do_not_keep_others_out() {
    let entry = Entry::spawn(settings()).unwrap();
    let silent: Vec<TcpStream> = (0..40).map(|_| connect(entry.callers())).collect();
    assert!(is_healthy(entry.callers()));
    drop(silent);
}

#[test]
fn a_head_of_64_mebibytes_is_not_read() {
    let entry = Entry::spawn(settings()).unwrap();
    let mut stream = connect(entry.callers());
    stream.write_all(b"GET /v1/health HTTP/1.1\r\nX: ").unwrap();
    let chunk = vec![b'x'; 1 << 20];
    let chunks_sent = (0..64)
        .take_while(|_| stream.write_all(&chunk).is_ok())
        .count();
    assert!(chunks_sent < 64, "the listener read the whole head");
    assert!(is_healthy(entry.callers()));
}
