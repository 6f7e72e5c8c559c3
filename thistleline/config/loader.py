"""Reads and validates a settings file as a whole, and reports all its errors at once."""

from pathlib import Path
from typing import Any

import msgspec

from thistleline.config.parser import ConfigFault, SettingLine, parse_lines
from thistleline.config.schema import REPEATABLE_SETTINGS, SECTIONS, ProgramConfig
from thistleline.config.values import parse_value
from thistleline.transport.address import Address, parse_address


class ConfigError(Exception):
    """A settings file can't be read or is invalid.

    Attributes:
        lines: One message for each error.
    """

    def __init__(self, name: str, faults: list[ConfigFault]) -> None:
        """Create an error with the faults of the file `name`."""
        self.lines = [
            f"{name}:{number}: {reason}" if number else f"{name}: {reason}" for number, reason in faults
        ]
        super().__init__("\n".join(self.lines))


def read_config(path: str) -> ProgramConfig:
    """Read and validate a settings file.

    Raises:
        ConfigError: The file can't be read or is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(path, [ConfigFault(0, str(error.strerror))]) from error
    except UnicodeDecodeError as error:
        raise ConfigError(path, [ConfigFault(0, f"byte {error.start} is not valid UTF-8")]) from error
    return parse_config(path, text)


def parse_config(name: str, text: str) -> ProgramConfig:
    """Parse and validate the text of a settings file; `name` is used in error messages.

    Raises:
        ConfigError: The text is invalid.
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
    """The lines of a settings file, by section and name of the setting."""

    def __init__(self) -> None:
        self.by_section: dict[str, dict[str, SettingLine]] = {}
        self.repeated: dict[tuple[str, str], list[SettingLine]] = {}

    def add(self, line: SettingLine) -> str:
        """Add a line; return what is wrong with it, or an empty string if it is valid."""
        if line.section not in SECTIONS:
            return f"unknown section {line.section!r}; the sections are {', '.join(SECTIONS)}"
        names = {field.name for field in msgspec.structs.fields(SECTIONS[line.section])}
        section = self.by_section.setdefault(line.section, {})
        if line.name not in names:
            return (
                f"unknown setting {line.section} {line.name!r}; the settings are {', '.join(sorted(names))}"
            )
        key = line.section, line.name
        if line.name in section and key not in REPEATABLE_SETTINGS:
            return f"{line.section} {line.name} was already set in line {section[line.name].number}"
        section[line.name] = line
        if key in REPEATABLE_SETTINGS:
            self.repeated.setdefault(key, []).append(line)
        return ""

    def first_line(self, section: str) -> int:
        """Return the number of the section's first valid line, 0 if there is none."""
        return min((line.number for line in self.by_section[section].values()), default=0)


def _section_values(section: str, settings: _Settings, faults: list[ConfigFault]) -> dict[str, Any]:
    """Return the values of a section's settings by name, and add the errors in the values to `faults`."""
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
        first_line = settings.first_line(section)
        faults += [ConfigFault(first_line, reason) for reason in _feed_role_faults(values, settings)]
    return values


def _feed_role_faults(values: dict[str, Any], settings: _Settings) -> list[str]:
    """Return which settings a keeper or relay lacks; the caller reports settings with invalid values."""
    lines = settings.by_section["feed"]
    role = values["role"]
    required = ["name", "listen"]
    required += ["folder", "keeper"] if role == "keeper" else ["up"]
    faults = [f"a {role} requires the setting 'feed {name}'" for name in required if name not in lines]
    if role == "keeper":
        return faults + _keeper_faults(values, settings)
    if values.get("level", 0) == 0 and ("level" not in lines or "level" in values):
        faults.append("a relay's 'feed level' must be 1 or more")
    return faults


def _keeper_faults(values: dict[str, Any], settings: _Settings) -> list[str]:
    faults = []
    keepers, name = values.get("keeper", {}), values.get("name", "")
    if values.get("level", 0):
        faults.append("a keeper's 'feed level' must be 0")
    if keepers and name and name not in keepers:
        faults.append(f"no line 'feed keeper' contains the keeper's own name {name!r}")
    for upstream in sorted(values.get("up", {})):
        if upstream not in keepers:
            faults.append(f"'feed up {upstream}': there is no 'feed keeper' of that name")
    if "voter" not in settings.by_section.get("council", {}):
        faults.append("a keeper requires lines 'council voter'")
    return faults


def _parse_addresses(lines: list[SettingLine], faults: list[ConfigFault]) -> dict[str, Address]:
    """Return the named addresses in the lines of a repeatable setting; add errors in them to `faults`."""
    addresses: dict[str, Address] = {}
    for line in lines:
        name, _, address = line.value.partition("=")
        try:
            if not name or name in addresses:
                raise ValueError(f"{line.value!r} requires a unique name before a '='")
            addresses[name] = parse_address(address)
        except ValueError as error:
            faults.append(ConfigFault(line.number, f"{line.section} {line.name}: {error}"))
    return addresses
