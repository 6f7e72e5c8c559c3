"""Reads and validates a settings file as a whole, and reports all that is wrong with it at once."""

from pathlib import Path
from typing import Any

import msgspec

from thistleline.config.parser import ConfigFault, SettingLine, parse_lines
from thistleline.config.schema import REPEATABLE_SETTINGS, SECTIONS, ProgramConfig
from thistleline.config.values import parse_value
from thistleline.transport.address import Address, parse_address


class ConfigError(Exception):
    """A settings file is unusable.

    Attributes:
        lines: All that is wrong with it, for people to read.
    """

    def __init__(self, name: str, faults: list[ConfigFault]) -> None:
        """Describe the faults of the file of this name."""
        self.lines = [
            f"{name}:{number}: {reason}" if number else f"{name}: {reason}" for number, reason in faults
        ]
        super().__init__("\n".join(self.lines))


def read_config(path: str) -> ProgramConfig:
    """Read and validate a settings file.

    Raises:
        ConfigError: It can't be read, or is not valid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(path, [ConfigFault(0, str(error.strerror))]) from error
    except UnicodeDecodeError as error:
        raise ConfigError(path, [ConfigFault(0, f"byte {error.start} is no UTF-8")]) from error
    return parse_config(path, text)


def parse_config(name: str, text: str) -> ProgramConfig:
    """Validate the text of a settings file; `name` is for messages.

    Raises:
        ConfigError: It is not valid.
    """
    lines, faults = parse_lines(text)
    settings = _Settings()
    for line in lines:
        fault = settings.add(line)
        if fault:
            faults.append(ConfigFault(line.number, fault))
    sections: dict[str, Any] = {}
    for section in settings.by_section:
        values = _section_values(section, settings, faults)
        if not faults:
            sections[section] = SECTIONS[section](**values)
    if faults:
        raise ConfigError(name, sorted(faults))
    return ProgramConfig(**sections)


class _Settings:
    """The lines of a file by section and name."""

    def __init__(self) -> None:
        self.by_section: dict[str, dict[str, SettingLine]] = {}
        self.repeated: dict[tuple[str, str], list[SettingLine]] = {}

    def add(self, line: SettingLine) -> str:
        """Add a line; return why it is wrong, empty if it is not."""
        if line.section not in SECTIONS:
            return f"there is no part {line.section!r}, but {', '.join(SECTIONS)}"
        names = {field.name for field in msgspec.structs.fields(SECTIONS[line.section])}
        section = self.by_section.setdefault(line.section, {})
        if line.name not in names:
            return f"{line.section} has no {line.name!r}, but {', '.join(sorted(names))}"
        key = line.section, line.name
        if line.name in section and key not in REPEATABLE_SETTINGS:
            return f"{line.section} {line.name} was told in line {section[line.name].number} already"
        section[line.name] = line
        if key in REPEATABLE_SETTINGS:
            self.repeated.setdefault(key, []).append(line)
        return ""

    def first_line(self, section: str) -> int:
        """Return the number of the section's first line, 0 if none of its lines is valid."""
        return min((line.number for line in self.by_section[section].values()), default=0)


def _section_values(section: str, settings: _Settings, faults: list[ConfigFault]) -> dict[str, Any]:
    """Return the values of a section's fields, and add to `faults` what is wrong with them."""
    lines = settings.by_section[section]
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(SECTIONS[section]):
        if (section, field.name) in settings.repeated:
            values[field.name] = _parse_addresses(settings.repeated[section, field.name], faults)
        elif field.name in lines:
            line = lines[field.name]
            try:
                values[field.name] = parse_value(line.value, field.type)
            except (ValueError, msgspec.ValidationError) as error:
                message = str(error)
                reason = f"{section} {field.name}: {message[:1].lower()}{message[1:]}"
                faults.append(ConfigFault(line.number, reason))
        elif field.required:
            faults.append(ConfigFault(settings.first_line(section), f"{section} {field.name} is missing"))
    if section == "feed" and "role" in values:
        first = settings.first_line(section)
        faults += [ConfigFault(first, reason) for reason in _feed_faults(values, settings)]
    return values


def _feed_faults(values: dict[str, Any], settings: _Settings) -> list[str]:
    """Return what a keeper or a relay lacks; a setting that is there and invalid is reported elsewhere."""
    lines = settings.by_section["feed"]
    role = values["role"]
    wanted = ["name", "listen"]
    wanted += ["folder", "keeper"] if role == "keeper" else ["up"]
    faults = [f"a {role} wants 'feed {name}'" for name in wanted if name not in lines]
    if role == "keeper":
        return faults + _keeper_faults(values, settings)
    if values.get("level", 0) == 0 and ("level" not in lines or "level" in values):
        faults.append("a relay's 'feed level' is 1 or more")
    return faults


def _keeper_faults(values: dict[str, Any], settings: _Settings) -> list[str]:
    faults = []
    keepers, name = values.get("keeper", {}), values.get("name", "")
    if values.get("level", 0):
        faults.append("a keeper's 'feed level' is 0")
    if keepers and name and name not in keepers:
        faults.append(f"no line 'feed keeper' has the keeper's own name {name!r}")
    for one in sorted(values.get("up", {})):
        if one not in keepers:
            faults.append(f"'feed up {one}': there is no 'feed keeper' of that name")
    if "voter" not in settings.by_section.get("council", {}):
        faults.append("a keeper wants lines 'council voter'")
    return faults


def _parse_addresses(lines: list[SettingLine], faults: list[ConfigFault]) -> dict[str, Address]:
    """Return the addresses of a repeatable setting by name, and add to `faults` what is wrong with them."""
    found: dict[str, Address] = {}
    for line in lines:
        name, _, address = line.value.partition("=")
        try:
            if not name or name in found:
                raise ValueError(f"{line.value!r} has no name of its own before a '='")
            found[name] = parse_address(address)
        except ValueError as error:
            faults.append(ConfigFault(line.number, f"{line.section} {line.name}: {error}"))
    return found
