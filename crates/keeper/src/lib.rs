//! keeper
