use std::time::Duration;

use sassafrashoist_testkit::http_util::bind_loopback;
use sassafrashoist_testkit::tcp_link::{LinkFaults, TcpLink};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Connects through a link and returns the connections of the client and the server.
async fn connect_ends(link: &TcpLink) -> (TcpStream, TcpStream) {
    let (listener, address) = bind_loopback().await.unwrap();
    link.set_target(address);
    let client = TcpStream::connect(link.address).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (client, server)
}

async fn receives_nothing(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    tokio::time::timeout(Duration::from_millis(50), stream.read(&mut byte)).await.is_err()
}

#[tokio::test]
async fn tcp_link_holds_bytes_while_cut_and_delivers_them_when_restored() {
    let link = TcpLink::start(&CancellationToken::new()).await.unwrap();
    let (mut client, mut server) = connect_ends(&link).await;
    let mut received = [0; 4];

    link.set_cut(true);
    client.write_all(b"late").await.unwrap();
    let received_nothing = receives_nothing(&mut server).await;
    link.set_cut(false);
    server.read_exact(&mut received).await.unwrap();

    assert!(received_nothing);
    assert_eq!(&received, b"late");
}

#[tokio::test]
async fn tcp_link_cut_one_way_forwards_the_other() {
    let link = TcpLink::start(&CancellationToken::new()).await.unwrap();
    let (mut client, mut server) = connect_ends(&link).await;
    let mut received = [0; 4];

    link.set_faults(LinkFaults { is_forward_cut: true, ..LinkFaults::default() });
    client.write_all(b"lost").await.unwrap();
    server.write_all(b"kept").await.unwrap();
    client.read_exact(&mut received).await.unwrap();
    let received_nothing = receives_nothing(&mut server).await;

    assert!(received_nothing);
    assert_eq!(&received, b"kept");
}

// A proxy that turns a reset into a proper end makes a broken-off response look closed.
#[tokio::test]
async fn tcp_link_forwards_a_reset_as_a_reset() {
    let link = TcpLink::start(&CancellationToken::new()).await.unwrap();
    let (mut client, mut server) = connect_ends(&link).await;
    server.write_all(b"part").await.unwrap();
    let mut received = Vec::new();
    let mut part = [0; 4];
    client.read_exact(&mut part).await.unwrap();

    server.set_zero_linger().unwrap();
    drop(server);
    let end = client.read_to_end(&mut received).await;

    assert_eq!(end.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
}
