//! Keepers with data folders: restarts, lost and damaged disks.

mod site;

use std::fs;
use std::path::Path;

use site::*;
use state::Outcome;

/// Starts three keepers with folders.
async fn started(folder: &Path) -> Site {
    let mut site = Site::new(3, Some(folder));
    site.snapshot_after_entries = 16;
    site.start_all().await;
    site
}

/// Restarts a keeper after its folder was changed, and returns the ids before and after.
async fn replaced(site: &mut Site, host: &str, change: impl FnOnce()) -> (u64, u64) {
    let before = site.status(host).await.unwrap().id;
    site.kill(host);
    change();
    site.start(host, false).await;
    site.settled().await;
    (before, site.status(host).await.unwrap().id)
}

#[tokio::test]
async fn a_restart_of_all_keeps_everything() {
    let folder = tempfile::tempdir().unwrap();
    let mut site = started(folder.path()).await;
    let first = site.submit(&create("a0")).await;
    for index in 1..100 {
        let outcome = site.submit(&create(&format!("a{index}"))).await;
        assert!(matches!(outcome, Outcome::Done { .. }));
    }
    let before = site.view().await;
    for round in 0..3 {
        site.keepers.clear();
        for host in site.hosts() {
            site.start(&host, round == 1).await;
        }
        site.settled().await;
        assert_eq!(site.view().await, before);
        assert_eq!(site.submit(&create("a0")).await, first);
    }
}

#[tokio::test]
async fn a_lost_disk_is_another_replica() {
    let folder = tempfile::tempdir().unwrap();
    let mut site = started(folder.path()).await;
    site.submit(&create("a")).await;
    let path = folder.path().join("h1");
    let lose = || fs::remove_dir_all(&path).unwrap();
    let (before, after) = replaced(&mut site, "h1", lose).await;
    assert_ne!(before, after);
    site.kill("h2");
    site.submit(&create("b")).await;
    assert_eq!(site.view().await.adapters.len(), 2);
}

#[tokio::test]
async fn a_founder_that_lost_its_disk_founds_no_second_group() {
    let folder = tempfile::tempdir().unwrap();
    let mut site = started(folder.path()).await;
    site.submit(&create("a")).await;
    let group = site.status("h1").await.unwrap().group;
    site.kill("h0");
    fs::remove_dir_all(folder.path().join("h0")).unwrap();
    site.start("h0", true).await;
    site.settled().await;
    assert_eq!(site.status("h0").await.unwrap().group, group);
}

#[tokio::test]
async fn a_damaged_folder_is_set_aside() {
    let folder = tempfile::tempdir().unwrap();
    let mut site = started(folder.path()).await;
    for index in 0..40 {
        site.submit(&create(&format!("a{index}"))).await;
    }
    let path = folder.path().join("h1").join("snapshot");
    let damage = || {
        let mut bytes = fs::read(&path).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
        fs::write(&path, bytes).unwrap();
    };
    let (before, after) = replaced(&mut site, "h1", damage).await;
    assert_ne!(before, after);
    assert!(folder.path().join("h1.damaged-1").exists());
}
