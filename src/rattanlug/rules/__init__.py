"""Rule text: parsing, checks across lines, rendering, editing and differences."""
