//! ctl
