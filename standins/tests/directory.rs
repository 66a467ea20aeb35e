//! Guards against a VM list stand-in that answers a conditional read with 304 although the list has changed
//! since the tag was issued, which would hide the change from readers.

use awc::Client;
use awc::http::StatusCode;
use awc::http::header::{ETAG, IF_NONE_MATCH};
use godwithaven_standins::directory::{DirectoryStandin, ListedVm};
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

async fn read(directory: &DirectoryStandin, tag: &str) -> (StatusCode, String) {
    let request = Client::default().get(format!("http://{}/vms", directory.address));
    let response = request.insert_header((IF_NONE_MATCH, tag)).send().await.unwrap();
    let tag = response.headers().get(ETAG).map(|tag| tag.to_str().unwrap().to_owned());
    (response.status(), tag.unwrap_or_default())
}

#[gtest]
#[actix_rt::test]
async fn a_changed_list_does_not_match_an_earlier_tag() {
    // Arrange
    let token = CancellationToken::new();
    let directory = DirectoryStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    let (_, tag) = read(&directory, "").await;

    // Act
    let (unchanged, _) = read(&directory, &tag).await;
    directory.change(|list| list.push(ListedVm::default()));
    let (changed, new_tag) = read(&directory, &tag).await;

    // Assert
    expect_that!(unchanged, eq(StatusCode::NOT_MODIFIED));
    expect_that!(changed, eq(StatusCode::OK));
    expect_that!(new_tag, not(eq(&tag)));
    token.cancel();
}
