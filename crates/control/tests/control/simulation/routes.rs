//! Configurations with many routes.

use bytes::Bytes;

/// One route as operators write it, about 240 bytes.
pub fn route(number: usize, timeout: u64) -> String {
    format!(
        r#"{{"name":"r-{number}","hostname":"h{}.example","pathPrefix":"/p{number}/","type":"async","timeoutMs":{timeout},"targetLatencyMs":80,"priority":2,"backend":"b","maxAttempts":6,"fifo":false,"retentionS":90.0,"callbackUrl":false,"scheduleTargetMs":600}}"#,
        number % 20
    )
}

/// The routes with these numbers, separated by commas.
pub fn routes(numbers: std::ops::Range<usize>) -> String {
    let routes: Vec<String> = numbers.map(|number| route(number, 600)).collect();
    routes.join(",")
}

/// The first configuration, with this many routes.
pub fn configuration(count: usize) -> Bytes {
    Bytes::from(format!(r#"{{"version":1,"routes":[{}],"backends":[{{"name":"b"}}]}}"#, routes(0..count)))
}
