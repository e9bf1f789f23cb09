//! Which limits responses name.

use limit::Notice;
use limit::Rate;

fn named(rate: f64) -> Notice {
    Notice::Named(Rate::new(rate).expect("a rate"))
}

#[test]
fn each_value_of_the_header_has_a_defined_meaning() {
    let cases: [(&[&str], Notice); 13] = [
        (&[], Notice::Absent),
        (&["1.3"], named(1.3)),
        (&[" 12 "], named(12.0)),
        (&["0.25"], named(0.25)),
        (&["0"], named(0.1)),
        (&["1e300"], named(1e6)),
        (&["inf"], named(1e6)),
        (&["-1"], Notice::Invalid),
        (&["nan"], Notice::Invalid),
        (&["soon"], Notice::Invalid),
        (&["5", "2", "3"], named(2.0)),
        (&["5, 2"], named(2.0)),
        (&["-1", "4"], named(4.0)),
    ];
    for (values, expected) in cases {
        assert_eq!(Notice::parse(values.iter().copied()), expected, "{values:?}");
    }
}
