//! Serves many models on fewer accelerators.
