//! Placeholder of the program until its first version lands.

fn main() {}
