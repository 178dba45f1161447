use std::time::Duration;

use sassafrashoist_testkit::http_util::bind_loopback;
use sassafrashoist_testkit::tcp_link::{LinkFaults, TcpLink};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Connects through a link and returns both ends.
async fn connect_ends(link: &TcpLink) -> (TcpStream, TcpStream) {
    let (listener, address) = bind_loopback().await.unwrap();
    link.set_target(address);
    let near = TcpStream::connect(link.address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (near, far)
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    tokio::time::timeout(Duration::from_millis(50), stream.read(&mut byte)).await.is_err()
}

#[tokio::test]
async fn tcp_link_holds_bytes_while_cut_and_delivers_them_when_mended() {
    let link = TcpLink::start(&CancellationToken::new()).await.unwrap();
    let (mut near, mut far) = connect_ends(&link).await;
    let mut received = [0; 4];

    link.set_cut(true);
    near.write_all(b"late").await.unwrap();
    let was_silent = is_silent(&mut far).await;
    link.set_cut(false);
    far.read_exact(&mut received).await.unwrap();

    assert!(was_silent);
    assert_eq!(&received, b"late");
}

#[tokio::test]
async fn tcp_link_cut_one_way_passes_the_other() {
    let link = TcpLink::start(&CancellationToken::new()).await.unwrap();
    let (mut near, mut far) = connect_ends(&link).await;
    let mut received = [0; 4];

    link.set_faults(LinkFaults { is_forward_cut: true, ..LinkFaults::default() });
    near.write_all(b"lost").await.unwrap();
    far.write_all(b"kept").await.unwrap();
    near.read_exact(&mut received).await.unwrap();
    let was_silent = is_silent(&mut far).await;

    assert!(was_silent);
    assert_eq!(&received, b"kept");
}
