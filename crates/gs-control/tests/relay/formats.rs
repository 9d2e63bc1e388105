//! Reports of earlier builds, as an entry of such a build has encoded them.

use gs_control::forwarding::{LimitReport, QuotaReport, RegistryVersion, ServerIssue, StreamId};
use gs_control::forwarding::{ServerLoad, ServerWork, StreamShape, WaitingCounts};
use gs_control::quarantine::Suspicion;
use gs_control::relay::{EntryLoad, EntryPresence, EntryReport};
use gs_protocol::ids::Incarnation;
use gs_protocol::suspicion::ContentHash;

/// Encoded by ea10ec2, in hexadecimal.
const REPORT_EA10EC2: &str = include_str!("reports/ea10ec2.hex");

fn report() -> EntryReport {
    let address = "127.0.0.1:16144".parse().expect("an address");
    EntryReport {
        entry: "front-duluth-0".into(),
        incarnation: Incarnation(6),
        number: 41,
        presence: Some(EntryPresence {
            data_centre: "duluth".into(),
            address,
            peer_address: address,
            is_leaving: false,
            routes_version: 7,
            servers_version: RegistryVersion::default(),
            ended_outages: 1,
            link_rate: 125_000_000,
            is_isolated: false,
            forward_address: Some(address),
        }),
        load: load(),
    }
}

fn load() -> EntryLoad {
    let suspicion = |clearances, level| Suspicion { clearances, level };
    EntryLoad {
        waiting: WaitingCounts {
            on_time: 3,
            late: 1,
            ..WaitingCounts::default()
        },
        digest: vec![(
            "i-desk0-0".into(),
            ServerWork {
                load: ServerLoad {
                    requests: 2,
                    prompt_tokens: 5_000,
                },
                streams: vec![StreamShape {
                    held_tokens: 5_200,
                    remaining_tokens: 40,
                }],
            },
        )],
        issues: vec![("i-desk1-1".into(), ServerIssue::Unreachable)],
        suspicions: vec![
            (ContentHash(0x4a0f_d2a3_c39d_afee), suspicion(1, 2)),
            (ContentHash(0xf81c_c5ee_c53b_c43c), suspicion(0, 1)),
        ],
        limits: vec![(
            "i-desk0-0".into(),
            LimitReport {
                version: 1,
                limit: Some(12.5),
                sent: 9,
            },
        )],
        origins: vec![(
            "notes".into(),
            "v1".into(),
            vec![StreamId::of_request("r1")],
        )],
        quotas: vec![QuotaReport {
            workspace: 11,
            admitted: 20,
            refused: 2,
        }],
        ..EntryLoad::default()
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.trim().as_bytes().chunks(2);
    let bytes = digits.map(|pair| std::str::from_utf8(pair).expect("two digits"));
    bytes
        .map(|pair| u8::from_str_radix(pair, 16).expect("two digits"))
        .collect()
}

// Guards against entries that drop each other's reports while an upgrade replaces them one by one.
#[test]
fn reports_of_an_earlier_build_are_read_and_it_reads_those_of_this_build() {
    let read: EntryReport =
        ciborium::from_reader(from_hex(REPORT_EA10EC2).as_slice()).expect("a report");
    assert_eq!(read, report());
    // The earlier build reads exactly the layout that it writes.
    let mut written = Vec::new();
    ciborium::into_writer(&report(), &mut written).expect("an encoded report");
    assert_eq!(hex(&written), REPORT_EA10EC2.trim());
}
