//! Both sides of a link prove that they know the shared key.

use std::time::Duration;

use gs_document::settings::PeerKey;
use gs_protocol::peer::{PEER_PROTOCOL_VERSION, PROOF_BYTES, PeerFrame, PeerIdentity, PeerRefusal};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

use super::PeerError;
use super::socket::PeerSocket;

/// Keeps the two proofs of a link apart, so that neither can be played back as the other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkSide {
    Accepting,
    Connecting,
}

/// Who this entry is and what it proves.
#[derive(Clone, Debug)]
pub struct PeerCredentials {
    /// Who this entry is.
    pub own: PeerIdentity,
    /// The shared key.
    pub key: PeerKey,
    /// How long each step may take.
    pub timeout: Duration,
}

impl PeerCredentials {
    /// Opens a link as the connecting side; returns who the other side is.
    pub async fn connect(&self, socket: &mut PeerSocket) -> Result<PeerIdentity, PeerError> {
        let nonce = new_nonce();
        let peer = self.own.clone();
        let version = PEER_PROTOCOL_VERSION;
        socket
            .send(&PeerFrame::Hello {
                version,
                peer,
                nonce,
            })
            .await?;
        match socket.receive_within(self.timeout).await? {
            PeerFrame::Challenge {
                peer,
                nonce: theirs,
                proof,
            } => {
                self.check(LinkSide::Accepting, &nonce, &peer, &proof)?;
                let proof = self.prove(LinkSide::Connecting, &theirs, &self.own);
                socket.send(&PeerFrame::Proof { proof }).await?;
                Ok(peer)
            }
            PeerFrame::Refused(refusal) => Err(PeerError::RefusedByPeer(refusal)),
            _ => Err(PeerError::Refused(PeerRefusal::UnexpectedFrame)),
        }
    }

    /// Opens a link as the accepting side; returns who the other side is.
    pub async fn accept(&self, socket: &mut PeerSocket) -> Result<PeerIdentity, PeerError> {
        let hello = socket.receive_within(self.timeout).await?;
        let PeerFrame::Hello {
            version,
            peer,
            nonce: theirs,
        } = hello
        else {
            return Err(PeerError::Refused(PeerRefusal::UnexpectedFrame));
        };
        if version != PEER_PROTOCOL_VERSION {
            let expected = PEER_PROTOCOL_VERSION;
            let refusal = PeerRefusal::WrongVersion {
                found: version,
                expected,
            };
            return Err(PeerError::Refused(refusal));
        }
        if peer.identity.entry == self.own.identity.entry {
            return Err(PeerError::Refused(PeerRefusal::OwnName));
        }
        let nonce = new_nonce();
        let proof = self.prove(LinkSide::Accepting, &theirs, &self.own);
        let own = self.own.clone();
        socket
            .send(&PeerFrame::Challenge {
                peer: own,
                nonce,
                proof,
            })
            .await?;
        let PeerFrame::Proof { proof } = socket.receive_within(self.timeout).await? else {
            return Err(PeerError::Refused(PeerRefusal::UnexpectedFrame));
        };
        self.check(LinkSide::Connecting, &nonce, &peer, &proof)?;
        Ok(peer)
    }

    fn prove(
        &self,
        side: LinkSide,
        nonce: &[u8; PROOF_BYTES],
        peer: &PeerIdentity,
    ) -> [u8; PROOF_BYTES] {
        self.proof_of(side, nonce, peer)
            .finalize()
            .into_bytes()
            .into()
    }

    fn check(
        &self,
        side: LinkSide,
        nonce: &[u8; PROOF_BYTES],
        peer: &PeerIdentity,
        proof: &[u8; PROOF_BYTES],
    ) -> Result<(), PeerError> {
        let expected = self.proof_of(side, nonce, peer);
        expected
            .verify_slice(proof)
            .map_err(|_| PeerError::Refused(PeerRefusal::WrongProof))
    }

    fn proof_of(
        &self,
        side: LinkSide,
        nonce: &[u8; PROOF_BYTES],
        peer: &PeerIdentity,
    ) -> Hmac<Sha256> {
        let mut proof = Hmac::<Sha256>::new_from_slice(self.key.as_bytes())
            .expect("HMAC takes keys of every length");
        proof.update(match side {
            LinkSide::Accepting => b"accepting",
            LinkSide::Connecting => b"connecting",
        });
        proof.update(nonce);
        proof.update(peer.identity.to_string().as_bytes());
        proof
    }
}

fn new_nonce() -> [u8; PROOF_BYTES] {
    let mut nonce = [0; PROOF_BYTES];
    rand::thread_rng().fill_bytes(&mut nonce);
    nonce
}
