#!/bin/sh
cd "$(dirname "$0")/../.."
exec target/review/case-other review/other
