//! Client of backend servers: requests, streams, orders and load reports.
