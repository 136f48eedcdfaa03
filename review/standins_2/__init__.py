"""What the scripts of the cases from 7 on share: real programs, and stand-ins by the pages."""
