#!/usr/bin/env bash
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "${here}/../lib2/run-case" "${here}" standby attempts
