//! An accepted configuration is in force at all gates within 3 s and never reverts.

use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use nix::sys::signal::Signal;
use site_tests::Options;
use site_tests::Site;
use site_tests::wait;

const IN_FORCE: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_secs(20);

fn options() -> Options {
    Options { engines: 1, services: 0, ..Options::default() }
}

async fn revision(site: &Site, gate: usize) -> u64 {
    let status = site.status(gate).await.expect("the gate responds");
    status["configuration"].as_u64().expect("the status has a revision")
}

#[tokio::test]
async fn one_of_several_concurrent_changes_with_the_same_expected_revision_succeeds() {
    let site = Site::start(options()).await;
    site.create_adapter("quotes", 1).await;
    let expected = revision(&site, 1).await.to_string();
    let versions = ["a", "b", "c", "d", "e", "f"];
    let args = versions
        .map(|version| vec!["version", "create", "quotes", version, "--expect", expected.as_str()]);
    let outputs = join_all(args.iter().map(|args| site.ctl(args))).await;
    let succeeded = outputs.iter().filter(|output| output.status.success()).count();
    assert_eq!(succeeded, 1);
    for failed in outputs.iter().filter(|output| !output.status.success()) {
        let error = String::from_utf8_lossy(&failed.stderr);
        assert!(error.contains("1600 Conflict"), "{error}");
    }
}

#[tokio::test]
async fn a_repeated_command_gets_its_first_response() {
    let site = Site::start(options()).await;
    let create = ["adapter", "create", "quotes", "--base", "base-1", "--id", "c-1"];
    let first = site.ctl_ok(&create).await;
    let again = site.ctl_ok(&create).await;
    assert_eq!(first.split(',').next(), again.split(',').next());
    let other = site.ctl(&["adapter", "create", "pumps", "--base", "base-1", "--id", "c-1"]).await;
    let error = String::from_utf8_lossy(&other.stderr);
    assert!(error.contains("1601 CommandReused"), "{error}");
}

#[tokio::test]
async fn a_change_is_in_force_within_three_seconds_with_a_frozen_host() {
    let site = Site::start(options()).await;
    site.create_adapter("quotes", 1).await;
    for name in ["gate-5", "keeper-5"] {
        site.processes[name].signal(Signal::SIGSTOP);
    }
    let begin = Instant::now();
    site.ctl_ok(&["version", "create", "quotes", "v2", "--wait", "10"]).await;
    let took = begin.elapsed();
    assert!(took < IN_FORCE, "in force after {took:?}");
    for name in ["gate-5", "keeper-5"] {
        site.processes[name].signal(Signal::SIGCONT);
    }
    let answer = site.complete(5, "quotes@v2", "as soon as it wakes").await.expect("a response");
    assert_ne!(answer.code(), 1101, "served without the change: {}", answer.text());
}

#[tokio::test]
async fn the_configuration_survives_a_restart_of_all_gates_and_keepers() {
    let mut site = Site::start(options()).await;
    let changes: String = (0..250)
        .map(|index| {
            format!(
                "{{\"create_adapter\":{{\"adapter\":\"a-{index}\",\"base\":\"base-1\"}}}}\n\
                 {{\"create_version\":{{\"adapter\":\"a-{index}\",\"version\":\"v1\"}}}}\n"
            )
        })
        .collect();
    let file = site.settings_path().with_file_name("changes.jsonl");
    std::fs::write(&file, changes).expect("the file can be written");
    site.ctl_ok(&["apply", &file.display().to_string(), "--wait", "10"]).await;
    let before = revision(&site, 1).await;
    let begin = Instant::now();
    site.restart_entries();
    site.wait_ready(1).await;
    println!("ready after {:?} with revision {before}", begin.elapsed());
    for gate in 1..=5 {
        assert!(revision(&site, gate).await >= before);
    }
    let text = site.ctl_ok(&["adapter", "list"]).await;
    assert_eq!(text.lines().count(), 251);
}

#[tokio::test]
async fn changes_are_accepted_after_the_loss_of_a_disk_and_then_of_two_hosts() {
    let mut site = Site::start(options()).await;
    site.create_adapter("quotes", 1).await;
    site.process("keeper-1").kill();
    let folder = site.config.entries[0].data.clone().expect("the host has a data directory");
    std::fs::remove_dir_all(&folder).expect("the data directory can be removed");
    let args: Vec<String> = site.processes["keeper-1"].args().to_vec();
    let args = args.into_iter().filter(|arg| arg != "--bootstrap").collect();
    site.process("keeper-1").restart_with(args);
    wait::until("the new replica votes", TIMEOUT, || async {
        let status = site.status(2).await?;
        let keepers = status["keepers"].as_array()?.clone();
        let leader = keepers.iter().find(|keeper| keeper["role"] == "leader")?;
        let own = keepers.iter().find(|keeper| keeper["host"] == "entry-1")?;
        let voters = leader["voters"].as_array()?.len();
        (voters == 5 && own["role"] == "follower").then_some(())
    })
    .await;
    site.process("keeper-2").kill();
    site.process("gate-2").kill();
    site.process("keeper-3").kill();
    site.process("gate-3").kill();
    let output: Output = wait::until("a change without two hosts", TIMEOUT, || async {
        let output = site.ctl(&["version", "create", "quotes", "v2", "--id", "second"]).await;
        output.status.success().then_some(output)
    })
    .await;
    assert!(output.status.success());
    let text = site.ctl_ok(&["adapter", "list"]).await;
    assert!(text.contains("v1 v2"), "{text}");
}
