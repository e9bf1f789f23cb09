//! load
