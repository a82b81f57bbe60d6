"""Attribution of upstream crashes to requests and parts of prompts."""
