//! Guards against shards that change owners because processes read a log that returns one after another.

#[path = "fixture/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::Cluster;
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

#[gtest]
fn a_log_that_returns_to_one_process_after_another_moves_no_shard() {
    // Arrange
    let mut cluster = Cluster::new(2, 4);
    cluster.run(20 * SECOND);
    let claims = cluster.transcript.len();
    cluster.members.iter_mut().for_each(|member| member.log = false);
    cluster.run(20 * SECOND);

    // Act: process 1 reads the log 1.5 s later than process 0; its backoff waits up to 2 s.
    cluster.members[0].log = true;
    cluster.run(3 * SECOND / 2);
    cluster.members[1].log = true;
    cluster.run(10 * SECOND);

    // Assert
    expect_that!(cluster.transcript[claims..], is_empty());
}
