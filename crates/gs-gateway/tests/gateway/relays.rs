//! Reports between the data centres of a large fleet, over sockets.

use std::time::Duration;

use gs_protocol::ids::DataCentreName;

use super::support::Deployment;

/// Entries of each data centre; enough for reports to pass through relays.
const ENTRIES: usize = 18;

const DATA_CENTRES: [&str; 2] = ["north", "south"];

/// Each entry is told of its own data centre and of one entry of the other, so that it can learn of the
/// rest only from the reports that relays pass on.
#[actix_rt::test]
async fn entries_learn_of_other_data_centres_through_relays() {
    let mut entries = Vec::new();
    for data_centre in DATA_CENTRES {
        for number in 0..ENTRIES {
            let name = format!("{data_centre}-{number}");
            entries.push(Deployment::start_in(data_centre, &name, Vec::new()).await);
        }
    }
    Deployment::join_knowing(&entries, |own, other| {
        own.data_centre == other.data_centre || other.name.as_str().ends_with("-7")
    })
    .await;
    let count_known = || {
        let counts = entries.iter().flat_map(|entry| {
            DATA_CENTRES.map(|name| {
                let data_centre = DataCentreName::from(name);
                let endpoints = entry.gateway.endpoints_for(&data_centre).into_iter();
                endpoints
                    .filter(|endpoint| endpoint.data_centre == data_centre)
                    .count()
            })
        });
        counts.sum::<usize>()
    };
    let all = entries.len() * entries.len();
    for _ in 0..1_000 {
        if count_known() == all {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(count_known(), all);
}
