//! place
