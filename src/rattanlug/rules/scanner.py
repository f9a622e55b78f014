"""Splits rule text into lines and words."""

import re

from rattanlug.rules import diagnostic, line, registry, values, word

# Control characters and everything that some programs take for a line end. In a comment
# they could hide a rule from a reviewer at a terminal.
CONTROL_CHARACTERS = re.compile("[\x00-\x08\x0a-\x1f\x7f-\x9f\u2028\u2029]")
_WORD = re.compile(r"[^ \t]+")


def scan_line(
    text: str, number: int
) -> tuple[line.RuleLine | None, list[diagnostic.Diagnostic]]:
    """Split one line; check its syntax, kind, name and field names.

    Parameters
    ----------
    text : str
        One line without line end.
    number : int
        Line number, counted from 1.

    Returns
    -------
    tuple of line.RuleLine or None and list of diagnostic.Diagnostic
        None without diagnostics means a blank line or a comment line. A line is
        returned together with diagnostics if its kind is known and its name is valid.
    """
    control = CONTROL_CHARACTERS.search(text)
    if control:
        problem = f"control character {control.group()!r}"
        position = control.start() + 1
        return None, [
            diagnostic.Diagnostic(number, position, problem, "printable text and tabs")
        ]
    content, hash_sign, comment = text.partition("#")
    words = [word.Word(m.group(), m.start() + 1) for m in _WORD.finditer(content)]
    if not words:
        return None, []
    kind = registry.KINDS.get(words[0].text)
    if kind is None:
        accepted = ", ".join(registry.KINDS)
        problem = f"unknown kind {words[0].text!r}"
        return None, [diagnostic.Diagnostic(number, words[0].column, problem, accepted)]
    diagnostics = []
    if not comment.strip():
        column = len(content) + 1 if hash_sign else len(text) + 1
        accepted = "# who asked and why, at the end of the line"
        diagnostics.append(
            diagnostic.Diagnostic(number, column, "the comment is missing", accepted)
        )
    named = len(words) > 1 and "=" not in words[1].text
    name = words[1] if named else word.Word("", words[0].column)
    if not _is_name(name.text, kind):
        diagnostics.append(_name_diagnostic(number, name, kind))
    fields = _scan_fields(words[2 if named else 1 :], number, kind, diagnostics)
    if not _is_name(name.text, kind):
        return None, diagnostics
    result = line.RuleLine(number, words[0], name, fields, comment.strip())
    return result, diagnostics


def _is_name(text, kind):
    parts = text.split("/")
    return len(parts) == len(kind.parts) and all(
        _is_part(part, kind.wildcard) for part in parts
    )


def _is_part(text, wildcard):
    if wildcard and text == "*":
        return True
    try:
        values.name(text)
    except ValueError:
        return False
    return True


def _name_diagnostic(number, name, kind):
    form = "/".join(f"<{part}>" for part in kind.parts)
    problem = f"{kind.name}: got name {name.text!r}" if name.text else "no name"
    accepted = f"{form}, each part {values.NAME_FORM}"
    if kind.wildcard:
        accepted += ", or '*'"
    return diagnostic.Diagnostic(number, name.column, problem, accepted)


def _scan_fields(words, number, kind, diagnostics):
    fields = {}
    accepted = ", ".join(f"{name}=" for name in kind.fields) or "no fields"
    for each in words:
        key, equals, value = each.text.partition("=")
        if not equals or key not in kind.fields:
            problem = f"{kind.name}: got {each.text!r}"
            diagnostics.append(
                diagnostic.Diagnostic(number, each.column, problem, accepted)
            )
        elif key in fields:
            problem = f"{key}: given twice"
            diagnostics.append(
                diagnostic.Diagnostic(number, each.column, problem, "each field once")
            )
        else:
            fields[key] = word.Word(value, each.column + len(key) + 1)
    missing = [f"{key}=" for key in kind.fields if key not in fields]
    if missing:
        end = words[-1].column + len(words[-1].text) if words else 1
        problem = f"{kind.name}: missing {', '.join(missing)}"
        diagnostics.append(diagnostic.Diagnostic(number, end, problem, accepted))
    return fields
