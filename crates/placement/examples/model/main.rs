//! Simulates the routing and placement decisions of a site. The figures are only fit to compare variants.
//!
//! `cargo run --release -p placement --example model -- [--site NAME] [--seeds N] [--minutes N]
//! [--flip] [--restart] [--skew N] [--lag-ms N]
//! [--half-life-ms N] [--stall-limit-ms N] [--spare-slots N] [VARIANT…]`

mod candidates;
mod run;
mod site;
mod stats;

use conf::section::Feature;
use conf::section::Placement;
use conf::section::Strategy;
use lexopt::Arg;
use lexopt::ValueExt;

use crate::site::Site;
use crate::stats::Stats;

/// The request rates of the runs, relative to the site's load capacity.
const RELATIVE_RATES: [f64; 4] = [0.5, 0.8, 1.0, 1.5];

/// The command-line options.
pub(crate) struct Options {
    /// The site to simulate; all sites if `None`.
    site: Option<String>,
    /// The number of runs, each with its own seed.
    seeds: u64,
    /// The simulated minutes of a run; the first quarter is warm-up and not counted.
    pub(crate) minutes: u64,
    /// Whether the popularity of the adapters changes in the middle of a run.
    pub(crate) flip: bool,
    /// Whether an engine restarts without adapters every minute.
    pub(crate) restart: bool,
    /// The interval between the gates' reports to each other, in milliseconds.
    pub(crate) lag_ms: u64,
    /// The Zipf exponent of the adapters' popularity; the site's own if `None`.
    skew: Option<f64>,
    settings: Placement,
    /// The variants to compare; all if empty.
    variants: Vec<String>,
}

fn main() -> Result<(), lexopt::Error> {
    let options = parse()?;
    for mut site in [Site::hsinchu(), Site::selat()] {
        site.skew = options.skew.unwrap_or(site.skew);
        if options.site.as_ref().is_none_or(|wanted| wanted == site.name) {
            compare(&site, &options);
        }
    }
    Ok(())
}

fn parse() -> Result<Options, lexopt::Error> {
    let settings = Placement::default();
    let mut options = Options {
        site: None,
        seeds: 3,
        minutes: 20,
        flip: false,
        restart: false,
        lag_ms: 100,
        skew: None,
        settings,
        variants: Vec::new(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("site") => options.site = Some(parser.value()?.string()?),
            Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
            Arg::Long("minutes") => options.minutes = parser.value()?.parse()?,
            Arg::Long("flip") => options.flip = true,
            Arg::Long("restart") => options.restart = true,
            Arg::Long("lag-ms") => options.lag_ms = parser.value()?.parse()?,
            Arg::Long("skew") => options.skew = Some(parser.value()?.parse()?),
            Arg::Long("half-life-ms") => options.settings.half_life_ms = parser.value()?.parse()?,
            Arg::Long("stall-limit-ms") => {
                options.settings.stall_limit_ms = parser.value()?.parse()?;
            }
            Arg::Long("spare-slots") => options.settings.spare_slots = parser.value()?.parse()?,
            Arg::Value(variant) => options.variants.push(variant.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn compare(site: &Site, options: &Options) {
    println!(
        "\n{}: load capacity {:.1}/s, batch capacity {:.1}/s; {} seeds, {} min{}",
        site.name,
        site.load_capacity(),
        site.batch_capacity(),
        options.seeds,
        options.minutes,
        match (options.flip, options.restart) {
            (true, _) => ", popularity changes",
            (_, true) => ", an engine restarts each minute",
            _ => "",
        },
    );
    println!("rate variant          {}", Stats::HEADER);
    for rate in RELATIVE_RATES {
        for (name, settings) in variants(&options.settings) {
            if !options.variants.is_empty() && !options.variants.iter().any(|wanted| wanted == name)
            {
                continue;
            }
            let mut stats = Stats::default();
            for seed in 1..=options.seeds {
                stats.add(run::run(site, &settings, rate, seed, options));
            }
            println!("{rate:<4} {name:<16} {}", stats.row());
        }
    }
}

/// Returns the variants with their settings.
fn variants(settings: &Placement) -> Vec<(&'static str, Placement)> {
    let without = |off: &[Feature]| Placement { off: off.to_vec(), ..settings.clone() };
    let baseline = |policy| Placement { policy, ..settings.clone() };
    let oldest_lru = [
        Feature::Worth,
        Feature::Popularity,
        Feature::Aging,
        Feature::SpareSlots,
        Feature::Copies,
        Feature::Reload,
        Feature::Prefetch,
        Feature::StallLimit,
    ];
    vec![
        ("default", settings.clone()),
        ("oldest+lru", without(&oldest_lru)),
        ("least_lru", baseline(Strategy::LeastLru)),
        ("random_lru", baseline(Strategy::RandomLru)),
        ("no_fill", without(&[Feature::Fill])),
        ("no_worth", without(&[Feature::Worth])),
        ("no_aging", without(&[Feature::Aging])),
        ("no_popularity", without(&[Feature::Popularity])),
        ("no_spare_slots", without(&[Feature::SpareSlots])),
        ("no_copies", without(&[Feature::Copies])),
        ("no_reload", without(&[Feature::Reload])),
        ("no_prefetch", without(&[Feature::Prefetch])),
        ("no_stall_limit", without(&[Feature::StallLimit])),
    ]
}
