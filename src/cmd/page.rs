//! The timeline as one self-contained HTML page: an SVG drawing with a lane per process, and a
//! table of all events.

use super::timeline::{kind_name, Line, Names};
use std::collections::BTreeSet;
use std::fmt::Write;

/// Height of a process's lane, in pixels.
const LANE_HEIGHT_PX: usize = 84;
/// Width of the column of VM names, in pixels.
const NAMES_WIDTH_PX: usize = 110;
/// Width of the time axis, in pixels.
const AXIS_WIDTH_PX: usize = 1500;

/// Stylesheet of the page.
const STYLESHEET: &str = "body{font:13px sans-serif;margin:16px;color:#222}\
svg{border:1px solid #ccc;background:#fff}\
.lane{stroke:#ddd}.name{font-weight:bold}\
circle{cursor:pointer}circle.on{stroke:#000;stroke-width:2}\
.link{stroke:#888;fill:none;stroke-width:1;opacity:.35}.link.on{stroke:#d00;opacity:1;stroke-width:2}\
table{border-collapse:collapse;margin-top:12px}td,th{padding:2px 8px;border-bottom:1px solid #eee;\
text-align:left;font-variant-numeric:tabular-nums}tr.on{background:#fff3c4}\
#legend span{margin-right:14px}#legend i{display:inline-block;width:10px;height:10px;\
border-radius:5px;margin-right:4px}";

/// Script of the page: a click on an event highlights all events of its request.
const SCRIPT: &str = "document.querySelectorAll('[data-request]').forEach(function(e){\
e.addEventListener('click',function(){var r=e.dataset.request;\
document.querySelectorAll('.on').forEach(function(o){o.classList.remove('on')});\
if(r)document.querySelectorAll('[data-request=\"'+r+'\"]').forEach(function(o){\
o.classList.add('on')});});});";

/// How events of one kind are drawn.
struct Marker {
    colour: &'static str,
    /// Name of the group of kinds in the legend.
    name: &'static str,
    /// Row within the lane, so that groups of kinds do not cover each other.
    row: usize,
}

/// Rows of markers within a lane.
const ROWS_PER_LANE: usize = 6;

/// The marker of a kind of event, by the name that [`kind_name`] gives.
fn marker(kind: &str) -> Marker {
    let (colour, name, row) = match kind {
        "taken" | "queued" | "granted" => ("#4a7fc1", "waiting", 0),
        "sent" | "retried" => ("#e08a1e", "sent", 1),
        "ended" => ("#3c9a4b", "ended", 2),
        "refused" | "caller-gone" | "grant-returned" | "ejected" => ("#c23b3b", "failed", 3),
        "link-up" | "link-down" => ("#999", "links", 5),
        _ => ("#7a4fb5", "fleet", 4),
    };
    Marker { colour, name, row }
}

/// Renders the page.
pub(crate) fn render(lines: &[Line], names: &Names) -> String {
    let lanes: Vec<&str> = {
        let names: BTreeSet<&str> = lines.iter().map(|l| l.vm.as_str()).collect();
        names.into_iter().collect()
    };
    let first = lines.first().map_or(0, |l| l.event.stamp.wall);
    let last = lines.last().map_or(first, |l| l.event.stamp.wall);
    let span = (last - first).max(1) as f64;
    let x = |wall: u64| NAMES_WIDTH_PX as f64 + (wall - first) as f64 / span * AXIS_WIDTH_PX as f64;
    let lane = |vm: &str| lanes.iter().position(|l| *l == vm).unwrap_or(0);
    let y = |line: &Line| {
        let row = marker(&kind_name(&line.event)).row;
        lane(line.vm.as_str()) * LANE_HEIGHT_PX
            + (2 * row + 1) * LANE_HEIGHT_PX / (2 * ROWS_PER_LANE)
    };
    let mut out = String::new();
    let height = lanes.len() * LANE_HEIGHT_PX;
    let width = NAMES_WIDTH_PX + AXIS_WIDTH_PX + 20;
    // Writing to a `String` cannot fail.
    let _ = write!(
        out,
        "<!doctype html><meta charset=utf-8><title>cowslipford timeline</title>\
         <style>{STYLESHEET}</style><h1>Timeline</h1>\
         <p>{} events on {} VMs over {:.1} ms. Click an event to follow its request.</p>\
         <p id=legend>{}</p><svg width={width} height={height}>",
        lines.len(),
        lanes.len(),
        span / 1000.0,
        legend()
    );
    for name in &lanes {
        let y = lane(name) * LANE_HEIGHT_PX + LANE_HEIGHT_PX / 2;
        let _ = write!(
            out,
            "<line class=lane x1={NAMES_WIDTH_PX} x2={} y1={y} y2={y} /><text class=name x=6 y={}>{}</text>",
            NAMES_WIDTH_PX + AXIS_WIDTH_PX,
            y + 4,
            escape(name)
        );
    }
    draw_requests(&mut out, lines, &x, &y);
    for line in lines {
        let fill = marker(&kind_name(&line.event)).colour;
        let request = line
            .event
            .request
            .map(|r| r.to_string())
            .unwrap_or_default();
        let _ = write!(
            out,
            "<circle cx={:.1} cy={} r=4 fill={fill} data-request=\"{request}\"><title>{}</title></circle>",
            x(line.event.stamp.wall),
            y(line),
            escape(&describe(line, first, names))
        );
    }
    let _ = write!(
        out,
        "</svg>{}<script>{SCRIPT}</script>",
        table(lines, first, names)
    );
    out
}

/// Draws a line through the events of each request.
fn draw_requests<X, Y>(out: &mut String, lines: &[Line], x: &X, y: &Y)
where
    X: Fn(u64) -> f64,
    Y: Fn(&Line) -> usize,
{
    let requests: BTreeSet<_> = lines.iter().filter_map(|l| l.event.request).collect();
    for request in requests {
        let of = lines.iter().filter(|l| l.event.request == Some(request));
        let points: Vec<String> = of
            .map(|l| format!("{:.1},{}", x(l.event.stamp.wall), y(l)))
            .collect();
        let points = points.join(" ");
        let _ = write!(
            out,
            "<polyline class=link data-request=\"{request}\" points=\"{points}\" />"
        );
    }
}

/// HTML of the legend: the colour of each group of kinds.
fn legend() -> String {
    let kinds = [
        "taken",
        "sent",
        "ended",
        "refused",
        "link-up",
        "scheduler-began",
    ];
    let item = |step: &&str| {
        let Marker {
            colour: fill, name, ..
        } = marker(step);
        format!("<span><i style=\"background:{fill}\"></i>{name}</span>")
    };
    kinds.iter().map(item).collect()
}

/// HTML of the table of all events.
fn table(lines: &[Line], first: u64, names: &Names) -> String {
    let mut out = String::from("<table><tr><th>ms<th>VM<th>step<th>details</tr>");
    for line in lines {
        let request = line
            .event
            .request
            .map(|r| r.to_string())
            .unwrap_or_default();
        let ms = (line.event.stamp.wall - first) as f64 / 1000.0;
        let _ = write!(
            out,
            "<tr data-request=\"{request}\"><td>{ms:.3}<td>{}<td>{}<td>{}</tr>",
            escape(line.vm.as_str()),
            escape(&kind_name(&line.event)),
            escape(&details(line, names))
        );
    }
    out.push_str("</table>");
    out
}

/// Tooltip of an event.
fn describe(line: &Line, first: u64, names: &Names) -> String {
    let ms = (line.event.stamp.wall - first) as f64 / 1000.0;
    format!(
        "{ms:.3} ms {} {} {}",
        line.vm,
        kind_name(&line.event),
        details(line, names)
    )
}

/// The fields of an event that are set, with customers and endpoints by name.
fn details(line: &Line, names: &Names) -> String {
    let event = &line.event;
    let parts = [
        event.request.map(|v| format!("request {v}")),
        event
            .customer
            .map(|id| format!("customer {}", names.customer(id))),
        event
            .endpoint
            .map(|id| format!("endpoint {}", names.endpoint(id))),
        event.peer.as_ref().map(|v| format!("peer {v}")),
        event.version.map(|v| format!("version {v}")),
        event.epoch.map(|v| format!("epoch {v}")),
    ];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    parts.join(", ")
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
