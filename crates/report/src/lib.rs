//! The short status report for operators.
