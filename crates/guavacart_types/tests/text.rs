//! Parsing and formatting of ids, sizes and time spans: valid text is parsed, formatted values
//! parse back, and invalid text is rejected.

use std::{fmt::Debug, str::FromStr};

use guavacart_types::{
    Accelerators, ByteSize, Class, ConfigNumber, InstanceId, Processors, Span, TaskId,
};

fn parse<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

macro_rules! parses {
    ($($name:ident: $text:expr => $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected = $value;
            assert_parsed(parse($text), expected);
        }
    )*};
}

fn assert_parsed<T: Debug + PartialEq>(parsed: Option<T>, expected: Option<T>) {
    assert_eq!(parsed, expected);
}

parses! {
    milliseconds: "250ms" => Some(Span::millis(250));
    seconds: "8s" => Some(Span::secs(8));
    hours: "6h" => Some(Span::secs(21_600));
    span_without_unit: "8" => None::<Span>;
    span_too_long: "99999999999999999999s" => None::<Span>;
    span_that_overflows: "9999999999999999999s" => None::<Span>;
    mebibytes: "64MiB" => Some(ByteSize::mib(64));
    bytes: "12B" => Some(ByteSize(12));
    size_without_unit: "12" => None::<ByteSize>;
    cores: "4" => Some(Processors::cores(4));
    millicores: "1500m" => Some(Processors(1_500));
    accelerators: "2" => Some(Accelerators(2));
    fraction_of_an_accelerator: "0.5" => None::<Accelerators>;
    class: "long" => Some(Class::Long);
    unknown_class: "medium" => None::<Class>;
    number_id: "7" => Some(ConfigNumber(7));
    negative_number_id: "-7" => None::<ConfigNumber>;
    empty_id: "" => None::<InstanceId>;
    id_with_a_space: "a b" => None::<InstanceId>;
    id_with_a_slash: "a/b" => None::<InstanceId>;
    task_without_index: "job" => None::<TaskId>;
    task_with_a_non_numeric_index: "job/x" => None::<TaskId>;
}

#[test]
fn an_id_of_129_bytes_is_rejected() {
    assert_eq!(parse::<InstanceId>(&"a".repeat(129)), None);
    assert!(parse::<InstanceId>(&"a".repeat(128)).is_some());
}

#[test]
fn a_task_id_parses_and_formats_to_the_same_text() {
    let id: TaskId = "deck-7/3".parse().unwrap();
    assert_eq!(id.index, 3);
    assert_eq!(id.to_string(), "deck-7/3");
}

#[test]
fn a_size_is_formatted_in_its_largest_whole_unit() {
    let formatted = [0, 3, 2_048, 3 << 20, 5 << 30].map(|n| ByteSize(n).to_string());
    assert_eq!(formatted, ["0B", "3B", "2KiB", "3MiB", "5GiB"]);
}

#[test]
fn an_id_from_json_is_validated_like_one_from_text() {
    assert!(serde_json::from_str::<InstanceId>(r#""a b""#).is_err());
    assert!(serde_json::from_str::<InstanceId>(r#""a-b""#).is_ok());
}
