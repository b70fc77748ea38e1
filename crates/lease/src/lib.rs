//! Authority to give orders in a data centre.
