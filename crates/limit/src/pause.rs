//! The pause for which an endpoint asks when it refuses a request.

use std::time::Duration;

/// The longest pause that is kept. It bounds what a wrong value can do, since an endpoint that gets no requests can't
/// correct it.
const MAX: Duration = Duration::from_secs(600);

/// Parses the values of a response's headers, decimal numbers of seconds. Of several the longest holds. Returns `None` if
/// none of them is a time: zero, negative or not a number. Dates are among these, because the wall clocks of hosts differ.
pub fn parse_pause<'a>(values: impl Iterator<Item = &'a str>) -> Option<Duration> {
    let seconds = values.filter_map(|value| value.trim().parse::<f64>().ok());
    let longest = seconds.filter(|seconds| *seconds > 0.0).max_by(f64::total_cmp)?;
    Some(Duration::from_secs_f64(longest.min(MAX.as_secs_f64())))
}
