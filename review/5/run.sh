#!/usr/bin/env bash
. "$(dirname "$0")/../stand-ins/run-case.sh"
