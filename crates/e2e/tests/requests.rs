//! Guards the request path, with real processes.

use cumindeck_e2e::TestSite;
use googletest::prelude::*;

/// Guards against a broken connection between the processes, and against an entry that
/// fails with the other entry.
#[tokio::test]
async fn request_is_answered_and_survives_the_loss_of_an_entry() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    for entry in ["e1", "e2"] {
        let response = site.request(entry, "/echo", &[], "hello").await?;
        assert_that!(
            (response.status, &response.body),
            eq((200, &"hello".to_owned()))
        );
        assert_that!(response.verdict, eq("answered"));
        assert_that!(response.body, eq("hello"));
    }
    site.process("e1")?.kill()?;
    let response = site.request("e2", "/echo", &[], "again").await?;
    assert_that!(response.verdict, eq("answered"));
    assert_that!(response.body, eq("again"));
    Ok(())
}
