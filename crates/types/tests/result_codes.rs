//! Compares the table in `docs/result-codes.md` with the enums.
//!
//! Guards against undocumented codes and reused numbers.

use types::{Code, RetryReason};

const TABLE: &str = include_str!("../../../docs/result-codes.md");

/// Returns the first six cells of each row whose first cell is a number.
fn code_rows() -> Vec<Vec<&'static str>> {
    TABLE
        .lines()
        .map(|line| line.split('|').map(str::trim).skip(1).take(6).collect())
        .filter(|row: &Vec<&str>| row.first().is_some_and(|n| n.parse::<u16>().is_ok()))
        .collect()
}

fn expected(code: Code) -> Vec<String> {
    vec![
        code.number().to_string(),
        code.label().to_owned(),
        code.status().to_string(),
        code.ran().to_string(),
        if code.is_retryable() { "yes" } else { "no" }.to_owned(),
        code.description().to_owned(),
    ]
}

#[test]
fn table_and_enum_agree() {
    let rows = code_rows();

    let codes: Vec<Vec<String>> = Code::ALL.iter().map(|code| expected(*code)).collect();

    assert_eq!(rows, codes);
}

#[test]
fn numbers_rise_and_labels_are_unique() {
    let mut labels: Vec<&str> = Code::ALL.iter().map(|code| code.label()).collect();
    labels.sort_unstable();
    labels.dedup();

    assert!(Code::ALL.windows(2).all(|w| w[0].number() < w[1].number()));
    assert_eq!(labels.len(), Code::ALL.len());
}

#[test]
fn a_resend_is_never_offered_for_a_request_that_may_not_be_repeated() {
    // A retry is safe after a refusal without execution. The exceptions are answered from the claim
    // of the first request, limited to idempotent requests, or a repeated apply.
    let exceptions = [
        Code::StillRunning,
        Code::RetriesExhausted,
        Code::ApplyUnknown,
    ];
    let retryable = Code::ALL.iter().filter(|code| code.is_retryable());

    for code in retryable.filter(|code| !exceptions.contains(code)) {
        assert_eq!(code.ran(), types::ExecutionStatus::No, "{code}");
    }
}

#[test]
fn retry_reasons_are_listed() {
    for reason in RetryReason::ALL {
        let cell = format!("| {} |", reason.label());
        assert!(TABLE.contains(&cell), "{reason}");
    }
}
