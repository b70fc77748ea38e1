//! Faults that the explorations found, each as the shortest sequence that shows it.

mod refused_order;
mod surplus_slot;
