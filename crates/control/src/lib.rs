//! Placement controller of a data centre.
