//! Faults that the explorations found, each as the shortest sequence that shows it.

mod refused_order;
mod refused_slot;
mod surplus_slot;
