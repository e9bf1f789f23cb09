//! route
