//! Host settings, the declarative deployment file, and its versions in force.

mod deployment;

pub use deployment::{
    Adapter, BackendServer, Caller, DataCentre, Deployment, InForce, Limits, Model, Objective,
    Priority, Service, ServiceKind, TokenHash,
};
