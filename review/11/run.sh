#!/usr/bin/env bash
exec bash "$(dirname "$0")/../standins-3/play.sh" reset-readers "$(dirname "$0")"
