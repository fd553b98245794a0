//! Settings files: the values that are read, and the diagnostic for each fault.

#![allow(clippy::unwrap_used)]

use guavacart_config::{Settings, SettingsError};
use guavacart_types::{ByteSize, Span};

const VALID: &str = r#"
instance = "e1"
data_centre = "dc1"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
store = "127.0.0.1:7001"
instance_list = "127.0.0.1:7002"
[access]
peer_key = { env = "PEER_KEY" }
[access.teams]
agency-1 = "agency-1-token"
"#;

fn environment(name: &str) -> Option<String> {
    (name == "PEER_KEY").then(|| "a-key-of-sixteen".to_owned())
}

fn read(text: &str) -> Result<Settings, SettingsError> {
    Settings::read(text, &environment)
}

fn diagnostics_of(text: &str) -> String {
    let err = read(text).unwrap_err();
    let lines: Vec<String> = err.diagnostics.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn absent_keys_have_default_values() {
    let settings = read(VALID).unwrap();
    assert_eq!(settings.limits.body, ByteSize::mib(1));
    assert_eq!(settings.linger, Span::secs(3));
    assert_eq!(settings.access.peer_key.as_bytes(), b"a-key-of-sixteen");
    assert!(settings.access.writer.is_none());
}

#[test]
fn present_keys_override_default_values() {
    let text = VALID.replace(
        "[access]",
        "linger = \"0ms\"\n[limits]\nhead = \"8KiB\"\n[access]",
    );
    let settings = read(&text).unwrap();
    assert_eq!(settings.limits.head, ByteSize::kib(8));
    assert_eq!(settings.linger, Span::ZERO);
}

#[test]
fn secrets_are_never_printed() {
    assert!(!format!("{:?}", read(VALID).unwrap()).contains("token"));
}

macro_rules! faults {
    ($($name:ident: $from:expr => $to:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = VALID.replace($from, $to);
            assert_ne!(text, VALID);
            insta::assert_snapshot!(stringify!($name), diagnostics_of(&text));
        }
    )*};
}

faults! {
    unknown_key: "data_centre = " => "zone = \"z\"\ndata_centre = ";
    unknown_section: "[access]" => "[limit]\nbody = \"1MiB\"\n[access]";
    unknown_key_of_a_section: "[access]" => "[limits]\nbodies = \"1MiB\"\n[access]";
    missing_key: "instance = \"e1\"\n" => "";
    missing_peer_key: "peer_key = { env = \"PEER_KEY\" }" => "";
    wrong_type: "\"e1\"" => "1";
    table_expected: "[access]\npeer_key = { env = \"PEER_KEY\" }\n[access.teams]" => "access = 3\n[limits]";
    invalid_address: "127.0.0.1:7001" => "localhost";
    invalid_span: "[access]" => "linger = \"3 s\"\n[access]";
    zero_size: "[access]" => "[limits]\nbody = \"0KiB\"\n[access]";
    zero_count: "[access]" => "[limits]\nconnections = 0\n[access]";
    negative_count: "[access]" => "[limits]\nconnections = -1\n[access]";
    unset_variable: "\"PEER_KEY\"" => "\"NO_KEY\"";
    short_secret: "agency-1-token" => "a b";
    shared_secret: "[access.teams]" => "[access.teams]\nagency-2 = \"agency-1-token\"";
    invalid_team_name: "agency-1 =" => "\"agency 1\" =";
    invalid_toml: "\"dc1\"" => "dc1 =";
    several_faults: "instance = \"e1\"\ndata_centre = \"dc1\"" => "instances = 1";
}
