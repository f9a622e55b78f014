"""Splits rule text into lines and words."""

import re

from rattanlug.rules import fault, line, registry, values, word

# Control characters and everything that some program takes for a line end; in a
# comment they could hide a rule from the person who reviews it on a terminal.
CONTROL_CHARACTERS = re.compile("[\x00-\x08\x0a-\x1f\x7f-\x9f\u2028\u2029]")
_WORD = re.compile(r"[^ \t]+")


def scan_line(text: str, number: int) -> tuple[line.RuleLine | None, list[fault.Fault]]:
    """Split one line and check its form, its kind, its name and its field names.

    Parameters
    ----------
    text : str
        One line without its line end.
    number : int
        Line number, counted from 1.

    Returns
    -------
    tuple of line.RuleLine or None and list of fault.Fault
        None without faults stands for a blank line or a line of comment only. A
        line is returned together with faults when its kind and name are known.
    """
    control = CONTROL_CHARACTERS.search(text)
    if control:
        problem = f"control character {control.group()!r}"
        place = control.start() + 1
        return None, [fault.Fault(number, place, problem, "printable text and tabs")]
    content, hash_sign, comment = text.partition("#")
    words = [word.Word(m.group(), m.start() + 1) for m in _WORD.finditer(content)]
    if not words:
        return None, []
    kind = registry.KINDS.get(words[0].text)
    if kind is None:
        accepted = ", ".join(registry.KINDS)
        problem = f"unknown kind {words[0].text!r}"
        return None, [fault.Fault(number, words[0].column, problem, accepted)]
    faults = []
    if not comment.strip():
        column = len(content) + 1 if hash_sign else len(text) + 1
        accepted = "# who asked and why, at the end of the line"
        faults.append(fault.Fault(number, column, "the comment is missing", accepted))
    named = len(words) > 1 and "=" not in words[1].text
    name = words[1] if named else word.Word("", words[0].column)
    if not _is_name(name.text, kind):
        faults.append(_name_fault(number, name, kind))
    fields = _scan_fields(words[2 if named else 1 :], number, kind, faults)
    if not _is_name(name.text, kind):
        return None, faults
    result = line.RuleLine(number, words[0], name, fields, comment.strip())
    return result, faults


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


def _name_fault(number, name, kind):
    form = "/".join(f"<{part}>" for part in kind.parts)
    problem = f"{kind.name}: got name {name.text!r}" if name.text else "no name"
    accepted = f"{form}, each part {values.NAME_FORM}"
    if kind.wildcard:
        accepted += ", or '*'"
    return fault.Fault(number, name.column, problem, accepted)


def _scan_fields(words, number, kind, faults):
    fields = {}
    accepted = ", ".join(f"{name}=" for name in kind.fields) or "no fields"
    for each in words:
        key, equals, value = each.text.partition("=")
        if not equals or key not in kind.fields:
            problem = f"{kind.name}: got {each.text!r}"
            faults.append(fault.Fault(number, each.column, problem, accepted))
        elif key in fields:
            problem = f"{key}: given twice"
            faults.append(fault.Fault(number, each.column, problem, "each field once"))
        else:
            fields[key] = word.Word(value, each.column + len(key) + 1)
    missing = [f"{key}=" for key in kind.fields if key not in fields]
    if missing:
        end = words[-1].column + len(words[-1].text) if words else 1
        problem = f"{kind.name}: missing {', '.join(missing)}"
        faults.append(fault.Fault(number, end, problem, accepted))
    return fields
