//! Tests of the bytes that a VM carries for another one.

use sassafrashoist::gateway::serve_relay::{PassEnd, pass_request_on};
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

const BUFFER_BYTES: usize = 65_536;
const REQUEST: &[u8] = b"POST /bid HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

// The VM that carries a request stood still while the other one, whose caller had left, gave it up.
#[tokio::test]
async fn request_that_another_vm_gave_up_meanwhile_is_not_passed_on() {
    let (mut other_vm, mut from) = duplex(BUFFER_BYTES);
    let (mut to, mut server) = duplex(BUFFER_BYTES);
    other_vm.write_all(REQUEST).await.unwrap();
    drop(other_vm);

    let end = pass_request_on(&mut from, &mut to).await;
    drop(to);
    let mut received = Vec::new();
    server.read_to_end(&mut received).await.unwrap();

    assert_eq!(end, PassEnd::Closed);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}

#[tokio::test]
async fn request_of_a_vm_that_waits_is_passed_on_whole() {
    let (mut other_vm, mut from) = duplex(BUFFER_BYTES);
    let (mut to, mut server) = duplex(BUFFER_BYTES);
    let body = vec![b'x'; BUFFER_BYTES / 2];
    other_vm.write_all(REQUEST).await.unwrap();
    other_vm.write_all(&body).await.unwrap();

    let passing = tokio::spawn(async move { pass_request_on(&mut from, &mut to).await });
    let mut received = vec![0; REQUEST.len() + body.len()];
    server.read_exact(&mut received).await.unwrap();
    drop(other_vm);

    assert_eq!(passing.await.unwrap(), PassEnd::Closed);
    assert!(received.starts_with(REQUEST) && received.ends_with(&body));
}
