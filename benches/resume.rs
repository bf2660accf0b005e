//! Duration of finding the ends and ids of events in a stream: `cargo bench --bench resume`.

use coordination::resume::Events;
use std::hint::black_box;
use std::time::Instant;

/// Streams measured for each size of events.
const STREAMS: u32 = 20_000;
/// Events of a stream.
const EVENTS: u32 = 40;
/// Lengths of the data of an event, in bytes.
const LENGTHS: [usize; 3] = [50, 300, 2000];

fn main() {
    for length in LENGTHS {
        let data = "x".repeat(length);
        let events: Vec<String> = (0..EVENTS)
            .map(|n| format!("id: {n}\ndata: {data}\n\n"))
            .collect();
        // Each event arrives in two pieces.
        let pieces: Vec<&[u8]> = (events.iter())
            .flat_map(|event| {
                let (first, second) = event.as_bytes().split_at(event.len() / 2);
                [first, second]
            })
            .collect();
        let began = Instant::now();
        for _ in 0..STREAMS {
            let mut stream = Events::default();
            for piece in &pieces {
                let _ = black_box(stream.push(black_box(piece)));
            }
        }
        let per_event = began.elapsed() / (STREAMS * EVENTS);
        println!("{length} bytes: {per_event:?} an event");
    }
}
