//! Guards against shards that change owners after an outage of the log, because processes regain the log at
//! different times.

#[path = "fixture/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::Cluster;
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

#[gtest]
fn processes_that_regain_the_log_at_different_times_move_no_shard() {
    // Arrange
    let mut cluster = Cluster::new(2, 4);
    cluster.run(20 * SECOND);
    let claims = cluster.transcript.len();
    cluster.members.iter_mut().for_each(|member| member.reaches_log = false);
    cluster.run(20 * SECOND);

    // Act: process 1 reads the log 1.5 s later than process 0, as the backoff between reads is up to 2 s.
    cluster.members[0].reaches_log = true;
    cluster.run(3 * SECOND / 2);
    cluster.members[1].reaches_log = true;
    cluster.run(10 * SECOND);

    // Assert
    expect_that!(cluster.transcript[claims..], is_empty());
}
