//! The form of a line of the log.

use std::fmt;

use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Begins each line.
pub const LINE_PREFIX: &str = "mothspool: ";

/// Formats an event as one line.
pub struct LineFormat;

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_str(LINE_PREFIX)?;
        context.format_fields(writer.by_ref(), event)?;
        let metadata = event.metadata();
        let has_fields = metadata.fields().len() > 1;
        if has_fields {
            write!(writer, " level={} time=", metadata.level())?;
            SystemTime.format_time(&mut writer)?;
        }
        writeln!(writer)
    }
}
