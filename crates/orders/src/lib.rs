//! Recorded orders and memory accounting of one backend server.
