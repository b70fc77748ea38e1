//! Exchange between entry hosts: heartbeats, digests and configuration deltas.
