//! The opening exchange that proves the cluster key to both sides.
//!
//! 1. The initiator sends its cluster name and a nonce.
//! 2. The responder answers with a nonce of its own and its proof.
//! 3. The initiator checks that proof and sends its own.
//! 4. The responder checks it and accepts.
//!
//! A proof is the HMAC-SHA-256 under the cluster key over the side's label,
//! the cluster name, the format version and both nonces. Neither side can
//! replay the other's proof, since the labels differ. Either side may answer
//! with a refusal in place of its step; the format version is checked by the
//! frame header of every message.

use error_stack::Report;
use hmac::Mac;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::frame::{self, FORMAT_VERSION, FrameKind, HEADER_BYTES};
use rkyv::{Archive, Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::{key::ClusterIdentity, traffic::Traffic};

/// Longest handshake message, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;
/// Bytes of a proof.
const PROOF_BYTES: usize = 32;

const INITIATOR_LABEL: &[u8] = b"linnethitch initiator";
const RESPONDER_LABEL: &[u8] = b"linnethitch responder";

type Nonce = [u8; NONCE_BYTES];

/// One step of the exchange.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
enum HandshakeMessage {
    /// Step 1.
    Open {
        cluster: String,
        nonce: [u8; NONCE_BYTES],
    },
    /// Step 2.
    Challenge {
        nonce: [u8; NONCE_BYTES],
        proof: [u8; PROOF_BYTES],
    },
    /// Step 3.
    Proof { proof: [u8; PROOF_BYTES] },
    /// Step 4.
    Accepted,
    /// In place of any step: the other side does not belong here.
    Refused { reason: String },
}

fn refused(reason: impl Into<String>) -> Report<ErrorKind> {
    Report::new(ErrorKind::PeerRefused).attach(reason.into())
}

fn io_failed(error: &std::io::Error) -> Report<ErrorKind> {
    Report::new(ErrorKind::Io).attach(format!("handshake: {error}"))
}

fn fresh_nonce() -> Result<Nonce, Report<ErrorKind>> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(|error| Report::new(ErrorKind::Io).attach(error.to_string()))?;
    Ok(nonce)
}

/// What a proof covers besides the label.
struct Transcript<'a> {
    identity: &'a ClusterIdentity,
    initiator: Nonce,
    responder: Nonce,
}

impl Transcript<'_> {
    fn mac(&self, label: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        self.identity.key.authenticate(&[
            label,
            self.identity.name.as_bytes(),
            &FORMAT_VERSION.to_le_bytes(),
            &self.initiator,
            &self.responder,
        ])
    }

    fn proof(&self, label: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(label).finalize().into_bytes().into()
    }

    /// Compares in constant time.
    fn verify(&self, label: &[u8], proof: &[u8; PROOF_BYTES]) -> Result<(), Report<ErrorKind>> {
        self.mac(label)
            .verify_slice(proof)
            .map_err(|_| refused("the peer does not hold this cluster's key"))
    }
}

/// Runs the side that opened the TCP connection.
///
/// # Errors
/// `PeerRefused` when either side refuses the other, `Io` when the stream breaks.
pub(crate) async fn initiate<S>(
    stream: &mut S,
    identity: &ClusterIdentity,
    traffic: &Traffic,
) -> Result<(), Report<ErrorKind>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let initiator = fresh_nonce()?;
    let open = HandshakeMessage::Open {
        cluster: identity.name.clone(),
        nonce: initiator,
    };
    write_message(stream, &open, traffic).await?;
    let HandshakeMessage::Challenge { nonce, proof } = read_message(stream, traffic).await? else {
        return Err(refused("the peer did not answer with a challenge"));
    };
    let transcript = Transcript {
        identity,
        initiator,
        responder: nonce,
    };
    if let Err(report) = transcript.verify(RESPONDER_LABEL, &proof) {
        return Err(refuse_peer(stream, report, "wrong cluster key", traffic).await);
    }
    let proof = transcript.proof(INITIATOR_LABEL);
    write_message(stream, &HandshakeMessage::Proof { proof }, traffic).await?;
    match read_message(stream, traffic).await? {
        HandshakeMessage::Accepted => Ok(()),
        _ => Err(refused("the peer did not accept the proof")),
    }
}

/// Runs the side that accepted the TCP connection.
///
/// # Errors
/// `PeerRefused` when either side refuses the other, `Io` when the stream breaks.
pub(crate) async fn respond<S>(
    stream: &mut S,
    identity: &ClusterIdentity,
    traffic: &Traffic,
) -> Result<(), Report<ErrorKind>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let HandshakeMessage::Open { cluster, nonce } = read_message(stream, traffic).await? else {
        return Err(refused("the peer did not open with its cluster name"));
    };
    if cluster != identity.name {
        let report = refused(format!("a peer of cluster {cluster:?}"));
        return Err(refuse_peer(stream, report, "another cluster", traffic).await);
    }
    let transcript = Transcript {
        identity,
        initiator: nonce,
        responder: fresh_nonce()?,
    };
    let challenge = HandshakeMessage::Challenge {
        nonce: transcript.responder,
        proof: transcript.proof(RESPONDER_LABEL),
    };
    write_message(stream, &challenge, traffic).await?;
    let HandshakeMessage::Proof { proof } = read_message(stream, traffic).await? else {
        return Err(refused("the peer did not answer the challenge"));
    };
    if let Err(report) = transcript.verify(INITIATOR_LABEL, &proof) {
        return Err(refuse_peer(stream, report, "wrong cluster key", traffic).await);
    }
    write_message(stream, &HandshakeMessage::Accepted, traffic).await
}

/// Tells the peer that it is refused, as far as it still listens.
async fn refuse_peer<S>(
    stream: &mut S,
    report: Report<ErrorKind>,
    reason: &str,
    traffic: &Traffic,
) -> Report<ErrorKind>
where
    S: AsyncWrite + Unpin,
{
    let message = HandshakeMessage::Refused {
        reason: reason.to_owned(),
    };
    match write_message(stream, &message, traffic).await {
        Ok(()) => report,
        Err(_) => report.attach("the refusal could not be delivered"),
    }
}

async fn write_message<S>(
    stream: &mut S,
    message: &HandshakeMessage,
    traffic: &Traffic,
) -> Result<(), Report<ErrorKind>>
where
    S: AsyncWrite + Unpin,
{
    let bytes = frame::write_frame(FrameKind::Handshake, message)?;
    stream
        .write_all(&bytes)
        .await
        .map_err(|error| io_failed(&error))?;
    stream.flush().await.map_err(|error| io_failed(&error))?;
    traffic.count_sent(FrameKind::Handshake, bytes.len());
    Ok(())
}

async fn read_message<S>(
    stream: &mut S,
    traffic: &Traffic,
) -> Result<HandshakeMessage, Report<ErrorKind>>
where
    S: AsyncRead + Unpin,
{
    let mut header = [0; HEADER_BYTES];
    stream
        .read_exact(&mut header)
        .await
        .map_err(|error| io_failed(&error))?;
    let header = frame::read_header(&header)
        .map_err(|report| report.change_context(ErrorKind::PeerRefused))?;
    if header.kind != FrameKind::Handshake || header.length > MAX_HANDSHAKE_BYTES {
        return Err(refused("the peer does not speak the handshake"));
    }
    let mut payload = vec![0; header.length];
    stream
        .read_exact(&mut payload)
        .await
        .map_err(|error| io_failed(&error))?;
    traffic.count_received(FrameKind::Handshake, HEADER_BYTES + header.length);
    let message = frame::read_payload(&header, &payload)
        .map_err(|report| report.change_context(ErrorKind::PeerRefused))?;
    match message {
        HandshakeMessage::Refused { reason } => {
            Err(refused(format!("refused by the peer: {reason}")))
        }
        message => Ok(message),
    }
}
