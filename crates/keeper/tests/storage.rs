//! Keepers with data directories: restarts, lost and damaged directories.

mod site;

use std::fs;
use std::path::Path;

use site::*;
use state::Outcome;

/// Starts three keepers with data directories.
async fn start_with_data(directory: &Path) -> Site {
    let mut site = Site::new(3, Some(directory));
    site.snapshot_after_entries = 16;
    site.start_all().await;
    site
}

/// Crashes a keeper, changes its data directory and restarts it; returns the replica ids before and after.
async fn restart_after(site: &mut Site, host: &str, change: impl FnOnce()) -> (u64, u64) {
    let before = site.status(host).await.unwrap().id;
    site.crash(host);
    change();
    site.start(host, false).await;
    site.wait_until_settled().await;
    (before, site.status(host).await.unwrap().id)
}

#[tokio::test]
async fn restart_of_all_keepers_keeps_the_state() {
    let directory = tempfile::tempdir().unwrap();
    let mut site = start_with_data(directory.path()).await;
    let first = site.submit(&create_adapter("a0")).await;
    for index in 1..100 {
        let outcome = site.submit(&create_adapter(&format!("a{index}"))).await;
        assert!(matches!(outcome, Outcome::Done { .. }));
    }
    let before = site.view().await;
    for round in 0..3 {
        site.keepers.clear();
        for host in site.hosts() {
            site.start(&host, round == 1).await;
        }
        site.wait_until_settled().await;
        assert_eq!(site.view().await, before);
        assert_eq!(site.submit(&create_adapter("a0")).await, first);
    }
}

#[tokio::test]
async fn keeper_with_a_lost_directory_is_a_new_replica() {
    let directory = tempfile::tempdir().unwrap();
    let mut site = start_with_data(directory.path()).await;
    site.submit(&create_adapter("a")).await;
    let path = directory.path().join("h1");
    let remove = || fs::remove_dir_all(&path).unwrap();
    let (before, after) = restart_after(&mut site, "h1", remove).await;
    assert_ne!(before, after);
    site.crash("h2");
    site.submit(&create_adapter("b")).await;
    assert_eq!(site.view().await.adapters.len(), 2);
}

#[tokio::test]
async fn bootstrap_after_a_lost_directory_creates_no_second_group() {
    let directory = tempfile::tempdir().unwrap();
    let mut site = start_with_data(directory.path()).await;
    site.submit(&create_adapter("a")).await;
    let group = site.status("h1").await.unwrap().group;
    site.crash("h0");
    fs::remove_dir_all(directory.path().join("h0")).unwrap();
    site.start("h0", true).await;
    site.wait_until_settled().await;
    assert_eq!(site.status("h0").await.unwrap().group, group);
}

#[tokio::test]
async fn damaged_directory_is_moved_aside() {
    let directory = tempfile::tempdir().unwrap();
    let mut site = start_with_data(directory.path()).await;
    for index in 0..40 {
        site.submit(&create_adapter(&format!("a{index}"))).await;
    }
    let path = directory.path().join("h1").join("snapshot");
    let damage = || {
        let mut bytes = fs::read(&path).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
        fs::write(&path, bytes).unwrap();
    };
    let (before, after) = restart_after(&mut site, "h1", damage).await;
    assert_ne!(before, after);
    assert!(directory.path().join("h1.damaged-1").exists());
}
